#include "kv/store_client.hpp"

#include <algorithm>
#include <utility>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {
constexpr std::string_view kLevelFailed = "\"level\"";  // in the answer's list of failed conditions
constexpr std::string_view kNoSuchLease = "no such lease";
constexpr std::size_t kAnswerShown = 100;  // bytes of an answer that the log shows
constexpr int kTries = 6;                  // answers of 429 before the caller gets one
constexpr Ms kCrowdedPauseMs = 150;        // a bucket of one second refills by a seventh meanwhile

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
      return CallResult::crowded;
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

StoreClient::StoreClient(Outbox& out, double rps, double write_rps, int nodes)
    : out_(out), budget_(rps, write_rps, nodes), availability_(out), write_counts_(out) {}

// ---- calls --------------------------------------------------------------------------------------

void StoreClient::get(Ms now, Rank rank, std::string_view key, ResponseCallback done) {
  call(now, rank, Method::get, wire::get_path(key), {}, std::move(done));
}

void StoreClient::range(Ms now, Rank rank, std::string_view prefix, std::string_view after,
                        ResponseCallback done) {
  call(now, rank, Method::get, wire::range_path(prefix, after, kMaxRangePageItems), {},
       std::move(done));
}

void StoreClient::commit(Ms now, Rank rank, const wire::Txn& txn, ResponseCallback done) {
  if (stopped_ || data_loss_.blocks(rank)) return done(now, 503, {});
  write_counts_.add(rank, txn);
  call(now, rank, Method::post, "/txn", level_ ? txn.body(kLevelKey, *level_) : txn.body(),
       std::move(done), txn.writes());
}

void StoreClient::call(Ms now, Rank rank, Method method, std::string path, std::string body,
                       ResponseCallback done, int writes) {
  StoreCall call;
  call.call = store_call(method, std::move(path), std::move(body), kStoreCallTimeoutMs);
  call.done = std::move(done);
  call.writes = writes;
  enqueue(now, rank, std::move(call));
}

void StoreClient::watch(Ms now, std::string_view prefix, std::uint64_t after,
                        ResponseCallback done) {
  StoreCall call;
  call.call = store_call(
      Method::get,
      wire::watch_path(prefix, after, static_cast<std::uint32_t>(kWatchLongPollTimeoutMs)), {},
      kWatchLongPollTimeoutMs + kStoreCallTimeoutMs);
  call.call.watch = true;
  call.done = std::move(done);
  enqueue(now, Rank::lease, std::move(call));
}

// ---- leases -------------------------------------------------------------------------------------

void StoreClient::hold(Ms now, std::uint32_t ttl_ms,
                       std::function<void(Ms, std::optional<std::uint64_t>)> done) {
  StoreCall call;
  call.call = store_call(Method::post, "/holds", wire::hold_body(ttl_ms), kStoreCallTimeoutMs);
  call.raw = true;
  call.done = [this, ttl_ms, epoch = data_loss_.epoch(), done = std::move(done)](
                  Ms t, int status, std::string_view body) {
    const auto lease = status == 200 ? wire::parse_lease(body) : std::nullopt;
    const bool same_epoch = epoch == data_loss_.epoch();
    const bool retired = lease && retired_leases_.contains(*lease);
    if (lease && same_epoch && !retired) return done(t, lease);
    // Asked for before a loss that is known by now, it may have been given after it: nobody would
    // end it, and a leader of before may renew it for its own.
    if (lease)
      this->call(t, Rank::lease, Method::del, wire::end_path(*lease), {},
                 [](Ms, int, std::string_view) {});
    if (retired && same_epoch) return hold(t, ttl_ms, done);
    done(t, std::nullopt);
  };
  enqueue(now, Rank::lease, std::move(call));
}

// ---- the level of the stored state, data loss ---------------------------------------------------

void StoreClient::set_level(std::uint64_t version) {
  level_ = version;
  stopped_ = false;
}

void StoreClient::lose(Ms now, const char* why) {
  data_loss_.lose();
  if (on_loss) on_loss(now, why);
}

// ---- the budget ---------------------------------------------------------------------------------

double StoreClient::backlog_s() const {
  constexpr double kLeastRate = 0.1;
  return queues_.waiting_writes() / std::max(budget_.writes_per_s(), kLeastRate);
}

// A number of calls, 200, was a second's worth once; at 700 requests and 90 writes a second for
// five controllers it was twenty seconds of acceptances, which users wait 5 s for.
bool StoreClient::crowded(Rank rank) const {
  const auto is_full = [&](Kind kind, double per_s) {
    const auto most =
        std::max(kMinStoreQueueCapacity, static_cast<std::size_t>(per_s * kMaxStoreQueueS));
    return queues_.size(rank, kind) >= most;
  };
  const bool users_part = rank == Rank::user && budget_.leading();
  return is_full(Kind::write, users_part ? budget_.users_writes_per_s() : budget_.writes_per_s()) ||
         is_full(Kind::read, budget_.requests_per_s());
}

// ---- sending ------------------------------------------------------------------------------------

void StoreClient::enqueue(Ms now, Rank rank, StoreCall call) {
  if (call.born == 0) call.born = now;
  queues_.push(rank, std::move(call));
  pump(now);
}

void StoreClient::pump(Ms now) {
  log_writes(now);
  send_oldest_low(now);
  bool writes = true;  // a write of higher rank that waits keeps its tokens from lower ones
  for (std::size_t r = 0; r < kStoreRanks; ++r) {
    const auto rank = static_cast<Rank>(r);
    while (send_next(now, rank, Kind::read)) {
    }
    writes = writes && send_writes(now, rank);
  }
}

void StoreClient::log_writes(Ms now) {
  if (!write_counts_.is_log_due(now)) return;
  const auto waiting = [&](Rank rank) { return queues_.size(rank, Kind::write); };
  write_counts_.log(now, waiting(Rank::user),
                    waiting(Rank::first) + waiting(Rank::leader) + waiting(Rank::late));
}

// Questions about jobs that are over come last, and none of them may wait for as long as others
// come: the oldest has its turn a few times a second.
void StoreClient::send_oldest_low(Ms now) {
  const auto* oldest = queues_.front(Rank::low, Kind::read);
  if (now < next_oldest_low_ || oldest == nullptr || now - oldest->born <= kLowRankPromotionDelayMs)
    return;
  if (send_next(now, Rank::low, Kind::read)) next_oldest_low_ = now + kLowRankPromotionIntervalMs;
}

bool StoreClient::send_writes(Ms now, Rank rank) {
  while (const auto* call = queues_.next(rank, Kind::write, now)) {
    const int writes = call->writes;
    // What users bring to the leader's node must not keep the leader from its bookkeeping, without
    // which nothing goes on: past their part they wait for what it leaves.
    const bool leader_waits = rank == Rank::user && budget_.leading() &&
                              queues_.next(Rank::leader, Kind::write, now) != nullptr;
    if (leader_waits && !budget_.users_can_write(now, writes)) break;
    if (!send_next(now, rank, Kind::write)) return false;
    if (rank == Rank::user && budget_.users_can_write(now, writes)) budget_.take_from_users(writes);
  }
  return true;
}

bool StoreClient::send_next(Ms now, Rank rank, Kind kind) {
  const auto* next = queues_.next(rank, kind, now);
  if (next == nullptr || !budget_.can_send(now)) return false;
  if (kind == Kind::write && !budget_.can_write(now, next->writes)) return false;
  auto call = queues_.pop(rank, kind);
  budget_.take(now, call.writes);
  send(rank, std::move(call));
  return true;
}

void StoreClient::send(Rank rank, StoreCall call) {
  HttpCall http = call.call;
  http.urgent = rank == Rank::lease;
  call.asked = data_loss_.asked();
  out_.call(std::move(http), [this, rank, call = std::move(call)](Ms now, int status,
                                                                  std::string_view body) mutable {
    received(now, rank, std::move(call), status, body);
  });
}

// ---- responses ----------------------------------------------------------------------------------

void StoreClient::received(Ms now, Rank rank, StoreCall call, int status, std::string_view body) {
  record(now, call, status);
  if (data_loss_.shows_loss(call.asked, body)) lose(now, "revision");
  if (!call.raw && data_loss_.hides(call.asked, rank)) {
    status = 503;
    body = {};
  }
  // 429: not executed. The other nodes' share of the budget ran over; try again shortly.
  if (status == 429 && ++call.tries < kTries) {
    call.not_before = now + kCrowdedPauseMs;
    return enqueue(now, rank, std::move(call));
  }
  log_if_too_large(call, status, body);
  // Before the caller, so that what it does next is formed with that under way.
  report_other_level(now, status, body);
  call.done(now, status, body);
}

void StoreClient::record(Ms now, const StoreCall& call, int status) {
  out_.metrics().add(telemetry::Count::store_calls, result_of(call, status));
  if (!call.call.watch && status != 0)
    out_.metrics().observe(telemetry::Histogram::store_s,
                           static_cast<double>(now - call.born) / 1000);
  availability_.record(now, status, call.call.watch);
}

void StoreClient::log_if_too_large(const StoreCall& call, int status, std::string_view body) {
  if (status != 400 || call.writes == 0 || body.find(kNoSuchLease) != std::string_view::npos)
    return;
  if (std::exchange(too_large_logged_, true)) return;
  out_.log(Event::store_too_large, call.call.body.size(), call.writes,
           std::string(body.substr(0, kAnswerShown)));
}

void StoreClient::report_other_level(Ms now, int status, std::string_view body) {
  if (status != 409 || !level_ || !on_other_level) return;
  if (body.find(kLevelFailed) == std::string_view::npos) return;
  out_.metrics().add(telemetry::Count::level_refused);
  on_other_level(now);
}

}  // namespace hitchfront::core
