// What one run of the cluster simulation showed, beside the invariant checker's verdict.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "simulation/invariant_checker.hpp"

namespace hitchfront::testing {

struct Observations {
  InvariantChecker checker;
  std::vector<std::string> log;  // the controllers' lines, each after its moment and its node

  std::size_t finished = 0, accepted = 0;  // jobs
  std::size_t leases_lost = 0;             // workers' incarnations that ended with their lease
  std::size_t busy_returned = 0;           // machines returned with tasks on them
  std::size_t machines_most = 0;
  std::size_t machines_cut = 0;                          // by Scenario::cuts_after_responses
  std::size_t direct_commands = 0, direct_launches = 0;  // requests, and launches in them
  std::size_t repeated_launches = 0;                     // launches in copies of executed requests
  std::unordered_set<std::uint64_t> started_attempts;
  // Tasks that started after a user was answered that their job is cancelled, by what LaunchLog
  // says of their launch. Counted where the scenario says so.
  std::size_t cancelled_starts_on_their_way = 0, cancelled_starts_launched_knowing = 0;
  std::size_t late_writes = 0;  // transactions whose answer was lost
  // Requests that a running controller let wait until whoever asked gave up.
  std::size_t unanswered = 0;
  std::map<std::int64_t, std::size_t> launches_by_second;  // tasks that started
};

}  // namespace hitchfront::testing
