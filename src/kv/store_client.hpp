// Access to the state service within this node's part of its request rates.
#pragma once
#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <optional>

#include "core/effects.hpp"
#include "wire/state.hpp"

namespace hitchfront::core {

// A token bucket; time comes in.
class Bucket {
 public:
  Bucket(double rate, double most) : rate_(rate), most_(most), level_(most) {}
  void set_rate(double rate, double most) {
    rate_ = rate;
    most_ = most;
  }
  bool can(Ms now, double n) {
    if (now > last_)
      level_ = std::min(most_, level_ + rate_ * static_cast<double>(now - last_) / 1000);
    last_ = std::max(last_, now);
    // A request larger than the bucket passes when the bucket is full, and leaves a debt.
    return level_ >= std::min(n, most_);
  }
  void take(double n) { level_ -= n; }
  double rate() const { return rate_; }

 private:
  double rate_, most_, level_;
  Ms last_ = 0;
};

class StoreClient {
 public:
  // Lower goes first: what keeps the leader, then what launches of work that goes first wait for,
  // what users ask for, the leader's other bookkeeping, that of best-effort teams' jobs, and last
  // questions about jobs that are over or were never submitted.
  enum class Rank { lease = 0, first = 1, user = 2, leader = 3, late = 4, low = 5 };

  StoreClient(Outbox& out, double rps, double write_rps, int nodes);

  void get(Ms now, Rank rank, std::string_view key, Done done);
  void range(Ms now, Rank rank, std::string_view prefix, std::string_view after, Done done);
  void commit(Ms now, Rank rank, const wire::Txn& txn, Done done);
  void call(Ms now, Rank rank, Method method, std::string path, std::string body, Done done,
            int writes = 0);
  // A lease of this node's own; nothing: the store gave none.
  void hold(Ms now, std::uint32_t ttl_ms,
            std::function<void(Ms, std::optional<std::uint64_t> lease)> done);
  // A number that somebody may renew for his own: a lease that gets it after a loss is given back,
  // and another taken. The last few are remembered.
  void retire_lease(std::uint64_t lease);
  void watch(Ms now, std::string_view prefix, std::uint64_t after, Done done);
  // Every transaction from now on is conditioned on this version of the key `level`: what was
  // formed under another level is refused, however late it arrives. Until it is called there is no
  // such condition.
  static constexpr const char* kLevelKey = "level";
  void set_level(std::uint64_t version);
  // This process does not know how to write what stands there: transactions are refused here, until
  // set_level().
  void stop_writing() { stopped_ = true; }
  std::function<void(Ms)> on_other_level;  // a transaction was refused for its level

  // The store has lost something: an answer told an older revision than this node, or a peer, knew
  // of before the question was asked (every answer is of that moment or later). That answer, and
  // every one to a question from before, reaches its caller as 503, unknown; so do all that are
  // asked until recovered(), but those of the rank of the lease, by which a leader is found and the
  // state rebuilt.
  std::function<void(Ms, const char* why)> on_loss;
  void knows(std::uint64_t revision) {
    seen_ = std::max(seen_, lost_ ? 0 : revision);
  }  // by a peer
  std::uint64_t seen() const { return seen_; }
  void lose(Ms now, const char* why);  // as if an answer had told it
  void recovered();                    // what stands there now is the truth again
  bool lost() const { return lost_; }
  void detect_data_loss() { detects_data_loss_ = true; }

  void lead(bool leading);  // the leader has the larger part of the rates
  // While leading: what the others say they need of the write rate, in writes a second; the rest is
  // the leader's. Nothing: somebody has not said, and may use its whole part.
  void others_need(std::optional<double> writes_per_s);
  // What this node needs of the write rate in the next second, by the last one and by what waits;
  // at most its part.
  double needs_writes(Ms now);
  double write_rate() const { return writes_.rate(); }
  // s of this node's write rate that already wait.
  double backlog_s() const;
  // Nothing has come from the store for a while: not even a refusal, as in an outage.
  bool unreachable(Ms now) const {
    return unanswered_ >= kUnanswered && now - answer_at_ > kSilentMs;
  }
  void pump(Ms now);
  bool crowded(Rank rank) const;  // its calls already wait for a second's worth of the budget

 private:
  struct Waiting {
    HttpCall call;
    Done done;
    int writes = 0;
    int tries = 0;
    Ms not_before = 0;
    Ms born = 0;
    std::uint64_t seen = 0, epoch = 0;  // when it was sent
    bool raw = false;  // its answer reaches its sender even where a loss has come in between
  };
  void enqueue(Ms now, Rank rank, Waiting w);
  bool send_next(Ms now, std::size_t rank, bool writes);
  bool waits(std::size_t rank, Ms now) const;
  std::size_t writes_waiting(Rank rank) const {
    return queues_[static_cast<std::size_t>(rank)].writes.size();
  }
  bool is_retired(std::uint64_t lease) const {
    return std::find(retired_leases_.begin(), retired_leases_.end(), lease) !=
           retired_leases_.end();
  }
  void send(Ms now, Rank rank, Waiting w);

  Outbox& out_;
  double rps_, write_rps_;
  int nodes_;
  Bucket requests_, writes_;
  Bucket users_;  // what users' writes on the leader's node may take while the leader's own wait
  static constexpr int kUnanswered = 2;  // calls in a row: one may have been lost
  static constexpr Ms kSilentMs = 1600;  // and as long as a call may take
  int unanswered_ = 0;
  Ms answer_at_ = 0;
  double used_ = 0;  // writes sent, fading within a second
  double waiting_writes_ = 0;
  Ms used_at_ = 0, low_at_ = 0;
  bool leading_ = false;
  std::deque<std::uint64_t> retired_leases_;
  std::array<std::int64_t, 7> written_{};  // by telemetry::Write, since it was last told
  Ms next_write_log_ = 0;
  void answered(Ms now, const Waiting& w, int status);
  struct Queue {
    std::deque<Waiting> reads, writes;
    std::deque<Waiting>& of(bool w) { return w ? writes : reads; }
  };
  std::array<Queue, 6> queues_;
  Ms failing_since_ = 0;  // 0: the last answer was one
  bool down_ = false;     // and that was told
  bool too_large_logged_ = false;
  std::optional<std::uint64_t> level_;
  bool stopped_ = false;
  std::uint64_t seen_ = 0, epoch_ = 0;
  bool lost_ = false, detects_data_loss_ = false;
};

}  // namespace hitchfront::core
