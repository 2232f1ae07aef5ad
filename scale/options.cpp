#include "scale/options.hpp"

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iterator>

namespace hitchfront::scale {
namespace {

// The operators' plan (docs/CAPACITY.md).
constexpr double kPlanWorkers = 9200, kPlanStarts = 970, kPlanJobsADay = 140'000, kDayS = 86'400;
constexpr int kExitUsage = 2;
// Files of this process beside those of the workers: the state service's and the cloud's
// connections, users, logs.
constexpr std::size_t kOtherFiles = 600;
constexpr std::size_t kConnections = 1,
                      kConnectionsInAFailover =
                          2;  // of a worker to controllers: it gives one up and has the next

}  // namespace

std::string controller_address(const Options& o, std::size_t controller, int which) {
  constexpr std::size_t kFirstHost = 10;
  return "127.0.0." + std::to_string(kFirstHost + controller) + ":" +
         std::to_string(o.port + which);
}

std::string service_address(const Options& o, int which) {
  return "127.0.0.9:" + std::to_string(o.port + which);
}

namespace {
bool is_free(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &a.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) == 0;
  close(fd);
  return bound;
}
}  // namespace

Machine this_machine(const Options& options) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  const auto pages = static_cast<std::size_t>(std::max(0L, sysconf(_SC_PHYS_PAGES)));
  Machine m{files.rlim_cur, pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)), {}};
  std::vector<std::string> addresses;
  for (const int which : {0, 1}) {
    addresses.push_back(service_address(options, which));
    for (int i = 0; i < options.controllers; ++i)
      addresses.push_back(controller_address(options, static_cast<std::size_t>(i), which));
  }
  std::copy_if(addresses.begin(), addresses.end(), std::back_inserter(m.busy_addresses),
               [](const auto& a) { return !is_free(a); });
  return m;
}

std::vector<std::string> problems(const Options& o, const Machine& machine) {
  std::vector<std::string> out;
  const std::size_t files_of_a_worker =
      (o.failures ? kConnectionsInAFailover : kConnections) + (o.commands ? 1 : 0);
  const auto files = static_cast<std::size_t>(o.workers) * files_of_a_worker + kOtherFiles;
  if (files > machine.files)
    out.push_back("--workers " + std::to_string(o.workers) + ": needs " + std::to_string(files) +
                  " open files in one process, " + std::to_string(machine.files) + " are allowed");
  const auto bytes = static_cast<std::size_t>(o.workers) * kWorkerBytes +
                     static_cast<std::size_t>(o.controllers) * kControllerBytes;
  if (bytes > machine.memory_bytes / 2)
    out.push_back("--workers " + std::to_string(o.workers) + ": needs some " +
                  std::to_string(bytes >> 20) + " MB, half of this machine's memory is " +
                  std::to_string(machine.memory_bytes / 2 >> 20) + " MB");
  if (starts_per_s(o) * o.run_s > static_cast<double>(o.workers) * kWorkerCpus)
    out.push_back("--starts-per-s: " + std::to_string(static_cast<int>(starts_per_s(o))) +
                  " tasks a second of " + std::to_string(static_cast<int>(o.run_s)) +
                  " s need more than the workers' " + std::to_string(o.workers * kWorkerCpus) +
                  " processors");
  if (access(o.program.c_str(), X_OK) != 0)
    out.push_back("--program " + o.program + ": can't be run");
  for (const auto& address : machine.busy_addresses)
    out.push_back("--port " + std::to_string(o.port) + ": " + address + " is in use");
  if (o.workers < o.regions * o.zones_per_region) out.push_back("--workers: fewer than zones");
  if (o.lease_s < 2 * o.heartbeat_s) out.push_back("--lease-s: must be twice --report-s or more");
  return out;
}

std::optional<Options> parse(int argc, char** argv, int& exit_status) {
  Options o;
  CLI::App app{
      "Plays a large fleet on this machine: real controllers, hollow workers over real sockets",
      "hitchfront_scale"};
  app.add_option("--program", o.program, "The service's program")->required();
  app.add_option("--directory", o.directory, "Where settings, logs and results go; it must exist")
      ->required()
      ->check(CLI::ExistingDirectory);
  app.add_option("--workers", o.workers, "Hollow workers")
      ->check(CLI::Range(1, 20'000))
      ->capture_default_str();
  app.add_option("--controllers", o.controllers, "Controllers, one to a region as far as they go")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  app.add_option("--regions", o.regions, "Regions")
      ->check(CLI::Range(1, 32))
      ->capture_default_str();
  app.add_option("--zones", o.zones_per_region, "Zones of each region")
      ->check(CLI::Range(1, 8))
      ->capture_default_str();
  app.add_option("--teams", o.teams, "Teams, each with a guarantee and a limit")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  app.add_option("--starts-per-s", o.starts_per_s, "Tasks that start a second; 0: by the plan")
      ->check(CLI::Range(0.0, 5000.0))
      ->capture_default_str();
  app.add_option("--jobs-per-s", o.jobs_per_s, "Jobs submitted a second; 0: by the plan")
      ->check(CLI::Range(0.0, 500.0))
      ->capture_default_str();
  app.add_option("--run-s", o.run_s, "Seconds that a task runs")
      ->check(CLI::Range(1.0, 3600.0))
      ->capture_default_str();
  app.add_option("--urgent", o.urgent, "Share of the jobs that are urgent")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  app.add_option("--cancelled", o.cancelled, "Share of the jobs that their users cancel")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  app.add_option("--seconds", o.seconds, "Seconds of submissions")
      ->check(CLI::Range(10, 3600))
      ->capture_default_str();
  app.add_option("--settle-s", o.settle_s, "Seconds after them, at most")
      ->check(CLI::Range(0, 600))
      ->capture_default_str();
  app.add_option("--report-s", o.heartbeat_s, "Seconds between a worker's reports")
      ->check(CLI::Range(0.5, 60.0))
      ->capture_default_str();
  app.add_option("--lease-s", o.lease_s, "A worker's lease")
      ->check(CLI::Range(1.0, 600.0))
      ->capture_default_str();
  app.add_option("--region-delay-ms", o.region_delay_ms,
                 "One way between workers and controllers, more by region")
      ->check(CLI::Range(0, 1000))
      ->capture_default_str();
  app.add_option("--cores", o.cores, "Share of a core that each controller is told it has")
      ->check(CLI::Range(0.01, 1.0))
      ->capture_default_str();
  app.add_option("--store-requests", o.store_requests,
                 "Requests a second that the state service allows")
      ->check(CLI::Range(10.0, 1e6))
      ->capture_default_str();
  app.add_option("--store-writes", o.store_writes, "Writes a second that it allows")
      ->check(CLI::Range(10.0, 1e6))
      ->capture_default_str();
  app.add_flag("!--no-commands", o.commands,
               "Workers give no address for direct commands: a file less for each");
  app.add_option("--repeat-commands-s", o.repeat_commands_s,
                 "Seconds after which each executed direct command is delivered again; 0: never")
      ->check(CLI::Range(0.0, 600.0))
      ->capture_default_str();
  app.add_flag("!--no-failures", o.failures, "Break nothing");
  app.add_option("--port", o.port, "First port to use on addresses of 127.0.0.0/8")
      ->check(CLI::Range(1024, 60'000))
      ->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    exit_status = app.exit(e) == 0 ? 0 : kExitUsage;
    return std::nullopt;
  }
  const auto found = problems(o, this_machine(o));
  for (const auto& p : found) std::fprintf(stderr, "hitchfront_scale: %s\n", p.c_str());
  if (found.empty()) return o;
  exit_status = kExitUsage;
  return std::nullopt;
}

double starts_per_s(const Options& o) {
  return o.starts_per_s > 0 ? o.starts_per_s : kPlanStarts * o.workers / kPlanWorkers;
}
double jobs_per_s(const Options& o) {
  return o.jobs_per_s > 0 ? o.jobs_per_s : kPlanJobsADay / kDayS;
}

}  // namespace hitchfront::scale
