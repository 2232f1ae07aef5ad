// The order in which calls go to the state service.
#pragma once
#include <cstddef>

namespace hitchfront::core {

// Lower goes first.
enum class StoreRank {
  lease = 0,   // what keeps the leader; never refused for a data loss
  first = 1,   // what launches of work that goes first wait for
  user = 2,    // what users ask for
  leader = 3,  // the leader's other bookkeeping
  late = 4,    // that of best-effort teams' jobs
  low = 5,     // questions about jobs that are over or were never submitted
};
inline constexpr std::size_t kStoreRanks = 6;

constexpr std::size_t index_of(StoreRank rank) {
  return static_cast<std::size_t>(rank);
}

}  // namespace hitchfront::core
