// Priorities of calls to the key-value store.
#pragma once
#include <cstddef>

namespace hitchfront::core {

// Lower values are sent first.
enum class StoreRank {
  lease = 0,        // leases, leader election, watches and recovery; served during a data loss
  launch = 1,       // calls that task launches wait for
  user = 2,         // user requests
  leader = 3,       // other calls of the leader
  best_effort = 4,  // writes for jobs of best-effort teams, also if launches wait for them
  low = 5,          // background work, such as reads of ended or unknown jobs
};
inline constexpr std::size_t kStoreRankCount = 6;

constexpr std::size_t index_of(StoreRank rank) {
  return static_cast<std::size_t>(rank);
}

}  // namespace hitchfront::core
