// Writes sent to the state service by kind, for the metrics and for a line in the log every few
// seconds.
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
  explicit WriteCounts(Outbox& out) : out_(out) {}
  void add(StoreRank rank, const wire::Txn& txn);
  bool is_log_due(Ms now) const { return now >= next_log_; }
  // Logs what was written since the last time, if anything was. Of what waits for the budget:
  // transactions of users, and of the leader.
  void log(Ms now, std::size_t users_wait, std::size_t leader_waits);

 private:
  static constexpr std::size_t kKinds = 7;  // of telemetry::Write
  Outbox& out_;
  std::array<std::int64_t, kKinds> since_log_{};
  Ms next_log_ = 0;
};

}  // namespace hitchfront::core
