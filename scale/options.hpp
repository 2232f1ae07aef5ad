// What a scale run plays, checked before anything is started.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hitchfront::scale {

struct Options {
  std::string program, directory;
  int workers = 650;
  int controllers = 6;
  int regions = 7;
  int zones_per_region = 2;
  int teams = 87;
  double starts_per_s = 0;  // 0: the plan's 970 for each 9,200 workers
  double jobs_per_s = 0;    // 0: the plan's 140,000 a day, whatever the workers
  double run_s = 73;        // of a task: 71,000 run where 970 start a second
  double urgent = 0.1;      // share of the jobs; each has a few tasks
  double cancelled = 0.03;  // share of the jobs
  int seconds = 180;        // of submissions
  int settle_s = 60;        // then, at most, until all has ended
  double heartbeat_s = 4, lease_s = 24;
  int region_delay_ms = 20;  // one way, between the machines of a region and the controllers
  double cores = 0.9;        // told to each controller
  double store_requests = 2000, store_writes = 200;
  bool commands = true;          // a worker listens for direct commands, which takes a socket more
  double repeat_commands_s = 0;  // after which each executed command is delivered again; 0: never
  bool failures =
      true;  // a zone cut for longer than a lease, the leader killed, a controller replaced
  int port = 20'000;
};

// A worker's processors; each task takes one. By the plan 71,000 of 73,600 are in use.
inline constexpr int kWorkerCpus = 8;
// Processes besides this one and bytes of memory for each worker and each controller, for the
// checks: measured once.
inline constexpr std::size_t kWorkerBytes = 150'000, kControllerBytes = 200'000'000;

struct Machine {
  std::size_t files = 0;         // that one process may have open
  std::size_t memory_bytes = 0;  // of the whole machine
  std::vector<std::string>
      busy_addresses;  // of those that the run listens on, what somebody else has
};
Machine this_machine(const Options& options);

// ADDRESS:PORT of a controller (users and workers at 0, other controllers at 1), and of the state
// service (0) and the cloud (1).
std::string controller_address(const Options& options, std::size_t controller, int which);
std::string service_address(const Options& options, int which);

// Why it can't be played, a line each, with what to change; none: it can.
std::vector<std::string> problems(const Options& options, const Machine& machine);

// From the command line; sets `exit_status` where there is nothing to run.
std::optional<Options> parse(int argc, char** argv, int& exit_status);

// What is meant where an option is 0.
double starts_per_s(const Options& options);
double jobs_per_s(const Options& options);

}  // namespace hitchfront::scale
