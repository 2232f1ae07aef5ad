// Plays a state service, a cloud and its machines on loopback, to try the service without any.
#include <event2/event.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "simulators/host.hpp"

int main(int argc, char** argv) {
  CLI::App app{"Simulators of hitchfront's surroundings, on loopback", "hitchfront_simulators"};
  std::string state = "127.0.0.1:2379", cloud = "127.0.0.1:8443";
  std::vector<std::string> nodes;
  double run_s = 3;
  app.add_option("--state", state, "Where the state service listens")->capture_default_str();
  app.add_option("--cloud", cloud, "Where the cloud listens")->capture_default_str();
  app.add_option("--node", nodes, "A controller, as NAME=ADDRESS:PORT")->required();
  app.add_option("--run-s", run_s, "How long every task runs, in seconds")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::map<std::string, std::string> by_name;
  for (const auto& n : nodes) {
    const auto equals = n.find('=');
    if (equals == std::string::npos) {
      std::fprintf(stderr, "--node %s: must be NAME=ADDRESS:PORT\n", n.c_str());
      return 2;
    }
    by_name[n.substr(0, equals)] = n.substr(equals + 1);
  }
  auto* base = event_base_new();
  hitchfront::simulators::Host host(base, state, cloud, by_name,
                                    {{"small", 4, 0, 16, 50, 1, 0.2, 0.06, 1, {"east"}}},
                                    [run_s](const std::string&, std::uint32_t) { return run_s; });
  std::printf("state %s, cloud %s\n", state.c_str(), cloud.c_str());
  return event_base_dispatch(base) == 0 ? 0 : 1;
}
