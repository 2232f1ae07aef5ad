// A seed for a process's random numbers, from the operating system's random device.
#pragma once
#include <cstdint>
#include <random>

namespace hitchfront::net {

// All 64 bits are random: the identifier of the process is derived from the seed, and no other
// process may have the same one.
[[nodiscard]] inline std::uint64_t random_seed() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> any;
  return any(device);
}

}  // namespace hitchfront::net
