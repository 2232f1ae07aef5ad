#include "kv/write_counts.hpp"

#include <algorithm>
#include <string_view>

#include "settings/constants.hpp"
#include "telemetry/metrics.hpp"

namespace hitchfront::core {
namespace {
using telemetry::Write;

// `prefix` of a key that the transaction writes.
Write kind_of(StoreRank rank, const wire::Txn& txn, std::string_view prefix) {
  if (rank == StoreRank::user) return Write::user;
  if (prefix == "prog/") return Write::progress;
  if (prefix == "over/" || prefix == "live/")
    return txn.writes() > 1 ? Write::outcome : Write::launch_watermark;
  if (prefix == "roster/") return Write::allocation_log;
  if (prefix == "relay/" || prefix == "reply/") return Write::relay;
  return Write::leadership;
}

}  // namespace

void WriteCounts::add(StoreRank rank, const wire::Txn& txn) {
  txn.for_each_prefix([&](std::string_view prefix) {
    const auto kind = kind_of(rank, txn, prefix);
    outbox_.metrics().add(telemetry::Count::store_writes, kind);
    ++counts_since_log_[static_cast<std::size_t>(kind)];
  });
}

void WriteCounts::log(Ms now, std::size_t waiting_user_txns, std::size_t waiting_leader_txns) {
  next_log_at_ = now + settings::kStateLogIntervalMs;
  const auto& counts = counts_since_log_;
  if (std::any_of(counts.begin(), counts.end(), [](auto count) { return count > 0; }))
    outbox_.log(Event::store_writes, counts[0], counts[1], counts[2], counts[3], counts[4],
                counts[5], counts[6], waiting_user_txns, waiting_leader_txns);
  counts_since_log_ = {};
}

}  // namespace hitchfront::core
