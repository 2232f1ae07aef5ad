// The draws of one simulation: everything drawn comes from one engine, in one order, so that a seed
// plays the same run each time.
#pragma once
#include <cstdint>
#include <random>

namespace hitchfront::testing {

class SeededRandom {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}

  // Both bounds included.
  std::int64_t between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(engine_);
  }
  std::size_t index(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(engine_);
  }
  double real(double low, double high) {
    return std::uniform_real_distribution<>(low, high)(engine_);
  }
  bool chance(double probability) { return real(0, 1) < probability; }
  // One draw of the engine itself.
  std::uint64_t bits() { return engine_(); }
  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace hitchfront::testing
