// Plays a large fleet on this machine. docs/CAPACITY.md says what came of it.
#include <signal.h>

#include <cstdio>
#include <exception>
#include <fstream>

#include "scale/run.hpp"

namespace {
using namespace hitchfront::scale;

volatile sig_atomic_t interrupted = 0;

int play(const Options& options) {
  Run run(options);
  for (const int s : {SIGINT, SIGTERM}) signal(s, [](int) { interrupted = 1; });
  const auto result = run.play([] { return interrupted != 0; });
  std::ofstream(options.directory + "/result.json") << to_json(result).dump() << "\n";
  std::printf("%s\n%s", to_json(result).dump().c_str(), table(result).c_str());
  plot(options.directory);
  return interrupted != 0 || !result.broken.empty() ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  int status = 0;
  const auto options = parse(argc, argv, status);
  if (!options) return status;
  signal(SIGPIPE, SIG_IGN);
  try {
    return play(*options);
  } catch (const std::exception& e) {
    // What was started has been ended by now.
    std::fprintf(stderr, "hitchfront_scale: %s\n", e.what());
    return 1;
  }
}
