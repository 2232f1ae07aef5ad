// Counts the writes sent to the key-value store by kind, for the metrics and for a periodic log
// line.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>

#include "core/effects.hpp"
#include "kv/store_rank.hpp"
#include "wire/state.hpp"

namespace hitchfront::core {

class WriteCounts {
 public:
  explicit WriteCounts(Outbox& outbox) : outbox_(outbox) {}
  void add(StoreRank rank, const wire::Txn& txn);
  bool is_log_due(Ms now) const { return now >= next_log_at_; }
  // Logs the counts since the last call, unless all are zero, and resets them. The parameters are
  // the numbers of queued transactions.
  void log(Ms now, std::size_t waiting_user_txns, std::size_t waiting_leader_txns);

 private:
  static constexpr std::size_t kWriteKinds = 7;  // values of telemetry::Write
  Outbox& outbox_;
  std::array<std::int64_t, kWriteKinds> counts_since_log_{};
  Ms next_log_at_ = 0;
};

}  // namespace hitchfront::core
