#include "kv/store_client.hpp"

#include <algorithm>
#include <cmath>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {
// The store's revision in an answer, where it tells one: a store that has lost everything tells 0.
// Quotes within texts are escaped, so this is a field.
std::optional<std::uint64_t> revision_in(std::string_view body) {
  constexpr std::string_view kField = "\"LedgerRev\":";
  auto at = body.find(kField);
  if (at == std::string_view::npos) return std::nullopt;
  for (at += kField.size(); at < body.size() && body[at] == ' ';) ++at;
  std::uint64_t n = 0;
  for (; at < body.size() && body[at] >= '0' && body[at] <= '9'; ++at)
    n = n * 10 + static_cast<std::uint64_t>(body[at] - '0');
  return n;
}
constexpr std::string_view kLevelFailed = "\"level\"";  // in the answer's list of failed conditions
constexpr std::size_t kAnswerShown = 100;               // bytes of an answer that the log shows
constexpr int kTries = 6;                               // answers of 429 before the caller is told
constexpr Ms kCrowdedPauseMs = 150;  // a bucket of one second refills by a seventh meanwhile
}  // namespace

StoreClient::StoreClient(Outbox& out, double rps, double write_rps, int nodes)
    : out_(out),
      rps_(rps * kStoreShare),
      write_rps_(write_rps * kStoreShare),
      nodes_(nodes),
      requests_(rps_ / nodes, rps_ / nodes),
      writes_(1, 1),
      users_(write_rps_ * (nodes > 1 ? (1 - kLeaderShare) / (nodes - 1) : kLeaderShare), 1) {
  lead(false);
}

void StoreClient::lead(bool leading) {
  double share = 1;
  leading_ = leading;
  if (nodes_ > 1) share = leading ? kLeaderShare : (1 - kLeaderShare) / (nodes_ - 1);
  writes_.set_rate(write_rps_ * share, write_rps_ * share);
  requests_.set_rate(rps_ * share, rps_ * share);
}

void StoreClient::others_need(std::optional<double> writes_per_s) {
  if (!leading_ || nodes_ <= 1) return;
  const double theirs = write_rps_ * (1 - kLeaderShare);
  const double rate = write_rps_ - std::min(theirs, writes_per_s.value_or(theirs));
  writes_.set_rate(rate, rate);
}

double StoreClient::needs_writes(Ms now) {
  used_ *= std::exp(-static_cast<double>(now - used_at_) / 1000);
  used_at_ = now;
  return std::min(writes_.rate(), 1 + kNeedsSpare * used_ + waiting_writes_);
}

double StoreClient::backlog_s() const {
  return waiting_writes_ / std::max(writes_.rate(), 0.1);
}

void StoreClient::get(Ms now, Rank rank, std::string_view key, Done done) {
  call(now, rank, Method::get, wire::get_path(key), {}, std::move(done));
}
void StoreClient::range(Ms now, Rank rank, std::string_view prefix, std::string_view after,
                        Done done) {
  call(now, rank, Method::get, wire::range_path(prefix, after, kPageItems), {}, std::move(done));
}
void StoreClient::commit(Ms now, Rank rank, const wire::Txn& txn, Done done) {
  if (stopped_ || (lost_ && rank != Rank::lease)) return done(now, 503, {});
  using telemetry::Write;
  txn.each_prefix([&](std::string_view p) {
    const auto what = rank == Rank::user ? Write::user
                      : p == "prog/"     ? Write::progress
                      : p == "over/" || p == "live/"
                          ? (txn.writes() > 1 ? Write::final : Write::launch_watermark)
                      : p == "roster/"                 ? Write::allocation
                      : p == "relay/" || p == "reply/" ? Write::relay
                                                       : Write::lead;
    out_.metrics().add(telemetry::Count::store_writes, what);
    ++written_[static_cast<std::size_t>(what)];
  });
  call(now, rank, Method::post, "/txn", level_ ? txn.body(kLevelKey, *level_) : txn.body(),
       std::move(done), txn.writes());
}
// Again, where it is lost already: what has been read since the first loss does not hold either.
void StoreClient::lose(Ms now, const char* why) {
  lost_ = true;
  ++epoch_;
  seen_ = 0;
  if (on_loss) on_loss(now, why);
}
void StoreClient::recovered() {
  lost_ = false;
  ++epoch_;
  seen_ = 0;
}
void StoreClient::set_level(std::uint64_t version) {
  level_ = version;
  stopped_ = false;
}
void StoreClient::call(Ms now, Rank rank, Method method, std::string path, std::string body,
                       Done done, int writes) {
  HttpCall c;
  c.method = method;
  c.path = std::move(path);
  c.body = std::move(body);
  c.timeout_ms = kStoreTimeoutMs;
  enqueue(now, rank, {std::move(c), std::move(done), writes, 0, 0});
}
void StoreClient::retire_lease(std::uint64_t lease) {
  if (is_retired(lease)) return;
  retired_leases_.push_back(lease);
  if (retired_leases_.size() > kRetiredLeasesMost) retired_leases_.pop_front();
}
void StoreClient::hold(Ms now, std::uint32_t ttl_ms,
                       std::function<void(Ms, std::optional<std::uint64_t>)> done) {
  HttpCall c;
  c.method = Method::post;
  c.path = "/holds";
  c.body = wire::hold_body(ttl_ms);
  c.timeout_ms = kStoreTimeoutMs;
  Waiting w{std::move(c), {}, 0, 0, 0};
  w.raw = true;
  w.done = [this, ttl_ms, epoch = epoch_, done = std::move(done)](Ms t, int status,
                                                                  std::string_view body) {
    const auto lease = status == 200 ? wire::parse_lease(body) : std::nullopt;
    const bool retired = lease && is_retired(*lease);
    if (lease && epoch == epoch_ && !retired) return done(t, lease);
    // Asked for before a loss that is known by now, it may have been given after it: nobody would
    // end it, and a leader of before may renew it for its own.
    if (lease)
      call(t, Rank::lease, Method::del, wire::end_path(*lease), {},
           [](Ms, int, std::string_view) {});
    if (retired && epoch == epoch_) return hold(t, ttl_ms, done);
    done(t, std::nullopt);
  };
  enqueue(now, Rank::lease, std::move(w));
}
void StoreClient::watch(Ms now, std::string_view prefix, std::uint64_t after, Done done) {
  HttpCall c;
  c.path = wire::watch_path(prefix, after, static_cast<std::uint32_t>(kWatchHoldMs));
  c.timeout_ms = kWatchHoldMs + kStoreTimeoutMs;
  c.watch = true;
  enqueue(now, Rank::lease, {std::move(c), std::move(done), 0, 0, 0});
}

// A number of calls, 200, was a second's worth once; at 700 requests and 90 writes a second for
// five controllers it was twenty seconds of acceptances, which users wait 5 s for.
bool StoreClient::crowded(Rank rank) const {
  const auto& q = queues_[static_cast<std::size_t>(rank)];
  const auto over = [](const std::deque<Waiting>& calls, const Bucket& b) {
    return calls.size() >=
           std::max(kStoreQueueLeast, static_cast<std::size_t>(b.rate() * kStoreQueueS));
  };
  return over(q.writes, rank == Rank::user && leading_ ? users_ : writes_) ||
         over(q.reads, requests_);
}

void StoreClient::enqueue(Ms now, Rank rank, Waiting w) {
  if (w.born == 0) w.born = now;
  waiting_writes_ += w.writes;
  queues_[static_cast<std::size_t>(rank)].of(w.writes > 0).push_back(std::move(w));
  pump(now);
}

bool StoreClient::waits(std::size_t rank, Ms now) const {
  const auto& q = queues_[rank].writes;
  return !q.empty() && q.front().not_before <= now;
}

// The next of a queue, if it may go. A retry that is not due yet holds up what is behind it for 150
// ms at the most.
bool StoreClient::send_next(Ms now, std::size_t rank, bool writes) {
  auto& q = queues_[rank].of(writes);
  if (q.empty() || q.front().not_before > now || !requests_.can(now, 1)) return false;
  if (writes && !writes_.can(now, q.front().writes)) return false;
  Waiting next = std::move(q.front());
  q.pop_front();
  requests_.take(1);
  writes_.take(next.writes);
  waiting_writes_ -= next.writes;
  if (next.writes > 0) {
    used_ = used_ * std::exp(-static_cast<double>(now - used_at_) / 1000) + next.writes;
    used_at_ = now;
  }
  send(now, static_cast<Rank>(rank), std::move(next));
  return true;
}

void StoreClient::pump(Ms now) {
  if (now >= next_write_log_) {
    next_write_log_ = now + kStateMs;
    const auto& w = written_;
    if (std::any_of(w.begin(), w.end(), [](auto n) { return n > 0; }))
      out_.log(
          Event::store_writes, w[0], w[1], w[2], w[3], w[4], w[5], w[6], writes_waiting(Rank::user),
          writes_waiting(Rank::first) + writes_waiting(Rank::leader) + writes_waiting(Rank::late));
    written_ = {};
  }
  // Questions about jobs that are over come last, and none of them may wait for as long as others
  // come: the oldest has its turn a few times a second.
  constexpr auto kLow = static_cast<std::size_t>(Rank::low);
  if (now >= low_at_ && !queues_[kLow].reads.empty() &&
      now - queues_[kLow].reads.front().born > kOldestMs) {
    if (send_next(now, kLow, false)) low_at_ = now + kOldestEveryMs;
  }
  constexpr auto kUser = static_cast<std::size_t>(Rank::user);
  bool writes = true;  // a write of higher rank that waits keeps its tokens from lower ones
  for (std::size_t r = 0; r < queues_.size(); ++r) {
    while (send_next(now, r, false)) {
    }
    while (writes && waits(r, now)) {
      // What users bring to the leader's node must not keep the leader from its bookkeeping,
      // without which nothing goes on: past their part they wait for what it leaves.
      const double n = queues_[r].writes.front().writes;
      const bool shared =
          r == kUser && leading_ && waits(static_cast<std::size_t>(Rank::leader), now);
      if (shared && !users_.can(now, n)) break;
      if (!send_next(now, r, true)) {
        writes = false;
        break;
      }
      if (r == kUser && users_.can(now, n)) users_.take(n);
    }
  }
}

void StoreClient::send(Ms, Rank rank, Waiting w) {
  HttpCall c = w.call;
  w.seen = seen_;
  w.epoch = epoch_;
  c.urgent = rank == Rank::lease;
  out_.call(std::move(c), [this, rank, w = std::move(w)](Ms now, int status,
                                                         std::string_view body) mutable {
    answered(now, w, status);
    if (const auto revision = detects_data_loss_ ? revision_in(body) : std::nullopt;
        revision && w.epoch == epoch_) {
      if (*revision < w.seen)
        lose(now, "revision");
      else
        seen_ = std::max(seen_, *revision);
    }
    if (!w.raw && (w.epoch != epoch_ || (lost_ && rank != Rank::lease))) {
      status = 503;
      body = {};
    }
    // 429: not executed. The other nodes' share of the budget ran over; try again shortly.
    if (status == 429 && ++w.tries < kTries) {
      w.not_before = now + kCrowdedPauseMs;
      enqueue(now, rank, std::move(w));
      return;
    }
    if (status == 400 && w.writes > 0 && body.find("no such lease") == std::string_view::npos &&
        !std::exchange(too_large_logged_, true))
      out_.log(Event::store_too_large, w.call.body.size(), w.writes,
               std::string(body.substr(0, kAnswerShown)));
    // Before its sender is told, so that what it does next is formed with that under way.
    if (status == 409 && level_ && body.find(kLevelFailed) != std::string_view::npos &&
        on_other_level) {
      out_.metrics().add(telemetry::Count::level_refused);
      on_other_level(now);
    }
    w.done(now, status, body);
  });
}

// An outage is told once, and once when it is over. A watch that is held in one says nothing either
// way.
void StoreClient::answered(Ms now, const Waiting& w, int status) {
  using telemetry::CallResult;
  const auto result = status == 200                   ? CallResult::ok
                      : status == 409                 ? CallResult::conflict
                      : status == 404                 ? CallResult::missing
                      : status == 429                 ? CallResult::crowded
                      : status == 503                 ? CallResult::refused
                      : status == 0                   ? CallResult::unanswered
                      : status == 400 && w.writes > 0 ? CallResult::too_large
                                                      : CallResult::other;
  out_.metrics().add(telemetry::Count::store_calls, result);
  if (status != 0) {
    unanswered_ = 0;
    answer_at_ = now;
  } else if (!w.call.watch) {
    ++unanswered_;
  }
  if (!w.call.watch && status != 0)
    out_.metrics().observe(telemetry::Histogram::store_s, static_cast<double>(now - w.born) / 1000);
  if (status != 0 && status != 503) {
    if (down_) out_.log(Event::store_up, static_cast<double>(now - failing_since_) / 1000);
    failing_since_ = 0;
    down_ = false;
  } else if (failing_since_ == 0) {
    failing_since_ = now;
  } else if (!down_ && now - failing_since_ >= kStoreDownMs) {
    down_ = true;
    out_.log(Event::store_down);
  }
}

}  // namespace hitchfront::core
