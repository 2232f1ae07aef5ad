// The clocks of this process, in milliseconds.
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

// Time of day, since 1970.
inline std::int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Processor time that this process has used.
inline double cpu_ms() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1000 + static_cast<double>(t.tv_nsec) / 1e6;
}

}  // namespace hitchfront::net
