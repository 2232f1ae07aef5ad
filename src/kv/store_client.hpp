// Access to the state service within this node's part of its request rates, in the order of ranks.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/effects.hpp"
#include "kv/call_queues.hpp"
#include "kv/data_loss_detector.hpp"
#include "kv/rate_budget.hpp"
#include "kv/retired_leases.hpp"
#include "kv/store_availability.hpp"
#include "kv/store_rank.hpp"
#include "kv/write_counts.hpp"
#include "wire/state.hpp"

namespace hitchfront::core {

class StoreClient {
 public:
  using Rank = StoreRank;

  // `rps`, `write_rps`: the store's rates a second, for all nodes together.
  StoreClient(Outbox& out, double rps, double write_rps, int nodes);

  // ---- calls. `done` gets the status (0: without a response; 503 also: refused here) and the
  // body.
  void get(Ms now, Rank rank, std::string_view key, ResponseCallback done);
  // A page of the keys with the prefix, from the first one after `after` on.
  void range(Ms now, Rank rank, std::string_view prefix, std::string_view after,
             ResponseCallback done);
  void commit(Ms now, Rank rank, const wire::Txn& txn, ResponseCallback done);
  // `writes`: puts and deletes.
  void call(Ms now, Rank rank, Method method, std::string path, std::string body,
            ResponseCallback done, int writes = 0);
  // Waits at the store until a key with the prefix changes after the revision `after`.
  void watch(Ms now, std::string_view prefix, std::uint64_t after, ResponseCallback done);

  // ---- leases
  // A lease of this node's own; nothing: the store gave none.
  void hold(Ms now, std::uint32_t ttl_ms,
            std::function<void(Ms, std::optional<std::uint64_t> lease)> done);
  // A number that somebody may renew for his own: a lease that gets it after a loss is given back,
  // and another taken.
  void retire_lease(std::uint64_t lease) { retired_leases_.retire(lease); }

  // ---- the level of the stored state
  // Every transaction from now on is conditioned on this version of the key `level`: what was
  // formed under another level is refused, however late it arrives. Until it is called there is no
  // such condition.
  static constexpr const char* kLevelKey = "level";
  void set_level(std::uint64_t version);
  // This process does not know how to write what stands there: transactions are refused here, until
  // set_level().
  void stop_writing() { stopped_ = true; }
  std::function<void(Ms)> on_other_level;  // a transaction was refused for its level

  // ---- data loss
  // The store has lost something. The response that shows it, and every one to a question from
  // before, reaches its caller as 503, unknown; so do all that are asked until recovered(), but
  // those of the rank of the lease, by which a leader is found and the state rebuilt.
  std::function<void(Ms, const char* why)> on_loss;
  void detect_data_loss() { data_loss_.enable(); }
  void knows(std::uint64_t revision) { data_loss_.note_revision(revision); }  // by a peer
  std::uint64_t seen() const { return data_loss_.revision(); }
  void lose(Ms now, const char* why);         // as if a response had shown it
  void recovered() { data_loss_.recover(); }  // what stands there now is the truth again
  bool lost() const { return data_loss_.lost(); }

  // ---- the budget
  void lead(bool leading) { budget_.lead(leading); }
  void others_need(std::optional<double> writes_per_s) { budget_.others_need(writes_per_s); }
  // Writes a second that this node needs in the next second; at most its part.
  double needs_writes(Ms now) { return budget_.needed_writes_per_s(now, queues_.waiting_writes()); }
  double write_rate() const { return budget_.writes_per_s(); }
  // s of this node's write rate that already wait.
  double backlog_s() const;
  // Calls of this rank already wait for a second's worth of the budget.
  bool crowded(Rank rank) const;

  // Nothing has come from the store for a while: not even a refusal, as in an outage.
  bool unreachable(Ms now) const { return availability_.unreachable(now); }
  // Sends what the budget allows; called between inputs.
  void pump(Ms now);

 private:
  using Kind = CallQueues::Kind;

  void enqueue(Ms now, Rank rank, StoreCall call);
  void log_writes(Ms now);
  void send_oldest_low(Ms now);
  // Sends due writes of the rank. False: one waits for the budget, and so do lower ranks.
  bool send_writes(Ms now, Rank rank);
  // The next of a queue, if it may go.
  bool send_next(Ms now, Rank rank, Kind kind);
  void send(Rank rank, StoreCall call);

  void received(Ms now, Rank rank, StoreCall call, int status, std::string_view body);
  void record(Ms now, const StoreCall& call, int status);
  void log_if_too_large(const StoreCall& call, int status, std::string_view body);
  void report_other_level(Ms now, int status, std::string_view body);

  Outbox& out_;
  RateBudget budget_;
  CallQueues queues_;
  DataLossDetector data_loss_;
  RetiredLeases retired_leases_;
  StoreAvailability availability_;
  WriteCounts write_counts_;
  Ms next_oldest_low_ = 0;
  bool too_large_logged_ = false;
  std::optional<std::uint64_t> level_;  // version of its key
  bool stopped_ = false;
};

}  // namespace hitchfront::core
