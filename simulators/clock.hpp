// The steady clock in milliseconds, as the simulators take it, and the time since a run began.
#pragma once
#include <chrono>
#include <cstdint>

namespace hitchfront::simulators {

inline std::int64_t steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

class Stopwatch {
 public:
  Stopwatch() : began_(steady_ms()) {}
  void restart() { began_ = steady_ms(); }
  // Milliseconds since its construction or its last restart.
  std::int64_t now() const { return steady_ms() - began_; }

 private:
  std::int64_t began_;
};

}  // namespace hitchfront::simulators
