// Aging: which jobs that have not started any task are moved ahead of their queue position, with
// one task each, and for which of them capacity is reserved. Prevents starvation: under any
// ordering policy, a job that needs more than the capacity freed at a time would wait for as long
// as smaller jobs arrive. No I/O and no clock.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

namespace hitchfront::aging {

// In ascending order of precedence.
enum class AgingLevel : std::uint8_t {
  normal,  // the regular queue position
  aged,    // the first task precedes all others of the same priority
  due,     // the first task precedes all jobs that are not within a guarantee
};

struct Limits {
  double aged_wait_s = 0, due_wait_s = 0;  // waiting times from which a level applies
  // Capacity is reserved for at most this many jobs at a time, as a share of the number of
  // machines, and for at least one.
  double reservation_share = 0;
};

// A job with waiting tasks.
struct WaitingJob {
  std::uint64_t job = 0;  // the caller's identifier; of equal waits the lower one goes first
  double wait_s = 0;
  bool started = false;           // a task is running, has run, or has been placed
  bool within_guarantee = false;  // exempt from aging: it goes first anyway
};

struct AgedJob {
  std::uint64_t job = 0;
  AgingLevel level = AgingLevel::normal;
  bool may_reserve = false;  // capacity is reserved for it if none is free
};

// The jobs to which aging applies, in descending order of waiting time.
std::vector<AgedJob> aged_jobs(const std::vector<WaitingJob>& waiting, std::size_t machines,
                               const Limits& limits);

}  // namespace hitchfront::aging
