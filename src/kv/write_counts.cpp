#include "kv/write_counts.hpp"

#include <algorithm>
#include <string_view>

#include "settings/constants.hpp"
#include "telemetry/metrics.hpp"

namespace hitchfront::core {
namespace {
using telemetry::Write;

// `prefix`: of a key that the transaction writes.
Write kind_of(StoreRank rank, const wire::Txn& txn, std::string_view prefix) {
  if (rank == StoreRank::user) return Write::user;
  if (prefix == "prog/") return Write::progress;
  if (prefix == "over/" || prefix == "live/")
    return txn.writes() > 1 ? Write::final : Write::launch_watermark;
  if (prefix == "roster/") return Write::allocation;
  if (prefix == "relay/" || prefix == "reply/") return Write::relay;
  return Write::lead;
}

}  // namespace

void WriteCounts::add(StoreRank rank, const wire::Txn& txn) {
  txn.each_prefix([&](std::string_view prefix) {
    const auto kind = kind_of(rank, txn, prefix);
    out_.metrics().add(telemetry::Count::store_writes, kind);
    ++since_log_[static_cast<std::size_t>(kind)];
  });
}

void WriteCounts::log(Ms now, std::size_t users_wait, std::size_t leader_waits) {
  next_log_ = now + settings::kStateLogIntervalMs;
  const auto& n = since_log_;
  if (std::any_of(n.begin(), n.end(), [](auto count) { return count > 0; }))
    out_.log(Event::store_writes, n[0], n[1], n[2], n[3], n[4], n[5], n[6], users_wait,
             leader_waits);
  since_log_ = {};
}

}  // namespace hitchfront::core
