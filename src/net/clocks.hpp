// Clocks, in milliseconds.
#pragma once
#include <chrono>
#include <cstdint>
#include <ctime>

namespace hitchfront::net {

inline std::int64_t steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Time of day, since the Unix epoch.
inline std::int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// CPU time used by this process, all threads together.
inline double cpu_ms() {
  timespec cpu_time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu_time);
  return static_cast<double>(cpu_time.tv_sec) * 1000 + static_cast<double>(cpu_time.tv_nsec) / 1e6;
}

}  // namespace hitchfront::net
