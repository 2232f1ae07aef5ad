#include "kv/store_client.hpp"

#include <algorithm>
#include <utility>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {
// In the store's list of a transaction's failed conditions.
constexpr std::string_view kFailedFeatureLevelCondition = "\"level\"";
constexpr std::string_view kNoSuchLease = "no such lease";
constexpr std::size_t kMaxLoggedResponseBytes = 100;
// Attempts answered with 429 before the caller gets that status.
constexpr int kMaxRateLimitedAttempts = 6;
constexpr Ms kRateLimitRetryDelayMs = 150;

HttpCall store_call(Method method, std::string path, std::string body, Ms timeout_ms) {
  HttpCall call;
  call.method = method;
  call.path = std::move(path);
  call.body = std::move(body);
  call.timeout_ms = timeout_ms;
  return call;
}

telemetry::CallResult result_of(const StoreCall& call, int status) {
  using telemetry::CallResult;
  switch (status) {
    case 200:
      return CallResult::ok;
    case 409:
      return CallResult::conflict;
    case 404:
      return CallResult::missing;
    case 429:
      return CallResult::rate_limited;
    case 503:
      return CallResult::refused;
    case 0:
      return CallResult::unanswered;
    case 400:
      return call.writes > 0 ? CallResult::too_large : CallResult::other;
    default:
      return CallResult::other;
  }
}

}  // namespace

StoreClient::StoreClient(Outbox& outbox, double requests_per_s, double writes_per_s, int nodes)
    : outbox_(outbox),
      budget_(requests_per_s, writes_per_s, nodes),
      availability_(outbox),
      write_counts_(outbox) {}

// --- calls ---

void StoreClient::get(Ms now, Rank rank, std::string_view key, ResponseCallback callback) {
  call(now, rank, Method::get, wire::get_path(key), {}, std::move(callback));
}

void StoreClient::range(Ms now, Rank rank, std::string_view prefix, std::string_view after,
                        ResponseCallback callback) {
  call(now, rank, Method::get, wire::range_path(prefix, after, kMaxRangePageItems), {},
       std::move(callback));
}

void StoreClient::commit(Ms now, Rank rank, const wire::Txn& txn, ResponseCallback callback) {
  if (writing_stopped_ || data_loss_.blocks(rank)) return callback(now, 503, {});
  write_counts_.add(rank, txn);
  call(now, rank, Method::post, "/txn",
       feature_level_version_ ? txn.body(kFeatureLevelKey, *feature_level_version_) : txn.body(),
       std::move(callback), txn.writes());
}

void StoreClient::call(Ms now, Rank rank, Method method, std::string path, std::string body,
                       ResponseCallback callback, int writes) {
  StoreCall call;
  call.call = store_call(method, std::move(path), std::move(body), kStoreCallTimeoutMs);
  call.callback = std::move(callback);
  call.writes = writes;
  enqueue(now, rank, std::move(call));
}

void StoreClient::watch(Ms now, std::string_view prefix, std::uint64_t after,
                        ResponseCallback callback) {
  StoreCall call;
  call.call = store_call(
      Method::get,
      wire::watch_path(prefix, after, static_cast<std::uint32_t>(kWatchLongPollTimeoutMs)), {},
      kWatchLongPollTimeoutMs + kStoreCallTimeoutMs);
  call.call.watch = true;
  call.callback = std::move(callback);
  enqueue(now, Rank::lease, std::move(call));
}

// --- leases ---

void StoreClient::acquire_lease(Ms now, std::uint32_t ttl_ms,
                                std::function<void(Ms, std::optional<std::uint64_t>)> callback) {
  StoreCall call;
  call.call =
      store_call(Method::post, "/holds", wire::create_lease_body(ttl_ms), kStoreCallTimeoutMs);
  call.deliver_after_data_loss = true;
  call.callback = [this, ttl_ms, epoch = data_loss_.epoch(), callback = std::move(callback)](
                      Ms received_at, int status, std::string_view body) {
    const auto lease = status == 200 ? wire::parse_lease(body) : std::nullopt;
    const bool same_epoch = epoch == data_loss_.epoch();
    const bool retired = lease && retired_leases_.contains(*lease);
    if (lease && same_epoch && !retired) return callback(received_at, lease);
    // A lease requested before a data loss may have been granted after it, and a former leader may
    // renew a lease with a retired id as its own. Revoke such a lease; nothing else would.
    if (lease)
      this->call(received_at, Rank::lease, Method::del, wire::revoke_lease_path(*lease), {},
                 [](Ms, int, std::string_view) {});
    if (retired && same_epoch) return acquire_lease(received_at, ttl_ms, callback);
    callback(received_at, std::nullopt);
  };
  enqueue(now, Rank::lease, std::move(call));
}

// --- feature level of the stored state, data loss ---

void StoreClient::set_feature_level_version(std::uint64_t version) {
  feature_level_version_ = version;
  writing_stopped_ = false;
}

void StoreClient::record_loss(Ms now, const char* reason) {
  data_loss_.record_loss();
  if (on_loss) on_loss(now, reason);
}

// --- rate limits ---

double StoreClient::backlog_s() const {
  constexpr double kMinWritesPerS = 0.1;
  return queues_.waiting_writes() / std::max(budget_.writes_per_s(), kMinWritesPerS);
}

// The limit scales with the rate: with a fixed length, user requests would time out in the queue of
// a node with a low rate. Users wait 5 s for an acceptance.
bool StoreClient::is_queue_full(Rank rank) const {
  const auto is_full = [&](Kind kind, double per_s) {
    const auto capacity =
        std::max(kMinStoreQueueCapacity, static_cast<std::size_t>(per_s * kMaxStoreQueueS));
    return queues_.size(rank, kind) >= capacity;
  };
  const bool user_share_applies = rank == Rank::user && budget_.leading();
  return is_full(Kind::write,
                 user_share_applies ? budget_.user_writes_per_s() : budget_.writes_per_s()) ||
         is_full(Kind::read, budget_.requests_per_s());
}

// --- sending ---

void StoreClient::enqueue(Ms now, Rank rank, StoreCall call) {
  if (call.queued_at == 0) call.queued_at = now;
  queues_.push(rank, std::move(call));
  send_queued(now);
}

void StoreClient::send_queued(Ms now) {
  log_write_counts(now);
  promote_oldest_low_read(now);
  // A write that waits for the rate limit also blocks writes of lower ranks, which would use up its
  // tokens.
  bool may_write = true;
  for (std::size_t index = 0; index < kStoreRankCount; ++index) {
    const auto rank = static_cast<Rank>(index);
    while (send_next(now, rank, Kind::read)) {
    }
    may_write = may_write && send_writes(now, rank);
  }
}

void StoreClient::log_write_counts(Ms now) {
  if (!write_counts_.is_log_due(now)) return;
  const auto waiting = [&](Rank rank) { return queues_.size(rank, Kind::write); };
  write_counts_.log(now, waiting(Rank::user),
                    waiting(Rank::launch) + waiting(Rank::leader) + waiting(Rank::best_effort));
}

// Prevents starvation of the lowest rank: sends its oldest read ahead of higher ranks, at most once
// per kLowRankPromotionIntervalMs.
void StoreClient::promote_oldest_low_read(Ms now) {
  const auto* oldest = queues_.front(Rank::low, Kind::read);
  if (now < next_promotion_at_ || oldest == nullptr ||
      now - oldest->queued_at <= kLowRankPromotionDelayMs)
    return;
  if (send_next(now, Rank::low, Kind::read)) next_promotion_at_ = now + kLowRankPromotionIntervalMs;
}

bool StoreClient::send_writes(Ms now, Rank rank) {
  while (const auto* call = queues_.next_due(rank, Kind::write, now)) {
    const int writes = call->writes;
    // User requests at the leader's node must not starve the leader's own writes, which scheduling
    // depends on. While those wait, users are limited to their share.
    const bool leader_is_waiting = rank == Rank::user && budget_.leading() &&
                                   queues_.next_due(Rank::leader, Kind::write, now) != nullptr;
    if (leader_is_waiting && !budget_.can_write_for_users(now, writes)) break;
    if (!send_next(now, rank, Kind::write)) return false;
    if (rank == Rank::user && budget_.can_write_for_users(now, writes))
      budget_.take_user_writes(writes);
  }
  return true;
}

bool StoreClient::send_next(Ms now, Rank rank, Kind kind) {
  const auto* next_due = queues_.next_due(rank, kind, now);
  if (next_due == nullptr || !budget_.can_send(now)) return false;
  if (kind == Kind::write && !budget_.can_write(now, next_due->writes)) return false;
  auto call = queues_.pop(rank, kind);
  budget_.take(now, call.writes);
  send(rank, std::move(call));
  return true;
}

void StoreClient::send(Rank rank, StoreCall call) {
  HttpCall http = call.call;
  http.urgent = rank == Rank::lease;
  call.baseline = data_loss_.baseline();
  outbox_.call(std::move(http), [this, rank, call = std::move(call)](
                                    Ms now, int status, std::string_view body) mutable {
    on_response(now, rank, std::move(call), status, body);
  });
}

// --- responses ---

void StoreClient::on_response(Ms now, Rank rank, StoreCall call, int status,
                              std::string_view body) {
  record(now, call, status);
  if (data_loss_.detect_loss(call.baseline, body)) record_loss(now, "revision");
  if (!call.deliver_after_data_loss && data_loss_.must_discard(call.baseline, rank)) {
    status = 503;
    body = {};
  }
  // 429: the store did not execute the call, because the nodes together exceeded its rate limit.
  if (status == 429 && ++call.rate_limited_attempts < kMaxRateLimitedAttempts) {
    call.not_before = now + kRateLimitRetryDelayMs;
    return enqueue(now, rank, std::move(call));
  }
  log_if_too_large(call, status, body);
  // Before the callback, so that the active level is already being read when the caller retries.
  handle_feature_level_mismatch(now, status, body);
  call.callback(now, status, body);
}

void StoreClient::record(Ms now, const StoreCall& call, int status) {
  outbox_.metrics().add(telemetry::Count::store_calls, result_of(call, status));
  if (!call.call.watch && status != 0)
    outbox_.metrics().observe(telemetry::Histogram::store_seconds,
                              static_cast<double>(now - call.queued_at) / 1000);
  availability_.record(now, status, call.call.watch);
}

void StoreClient::log_if_too_large(const StoreCall& call, int status, std::string_view body) {
  if (status != 400 || call.writes == 0 || body.find(kNoSuchLease) != std::string_view::npos)
    return;
  if (std::exchange(too_large_logged_, true)) return;
  outbox_.log(Event::store_too_large, call.call.body.size(), call.writes,
              std::string(body.substr(0, kMaxLoggedResponseBytes)));
}

void StoreClient::handle_feature_level_mismatch(Ms now, int status, std::string_view body) {
  if (status != 409 || !feature_level_version_ || !on_feature_level_mismatch) return;
  if (body.find(kFailedFeatureLevelCondition) == std::string_view::npos) return;
  outbox_.metrics().add(telemetry::Count::level_refused);
  on_feature_level_mismatch(now);
}

}  // namespace hitchfront::core
