// Client of the key-value store. Queues calls by rank, and sends them within this node's share of
// the store's rate limits.
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

  // `requests_per_s` and `writes_per_s` are the store's limits for all nodes together.
  StoreClient(Outbox& outbox, double requests_per_s, double writes_per_s, int nodes);

  // --- calls ---
  // The callback gets the HTTP status and the body. Status 0: no response. Status 503 may come from
  // the store or from this client, which refuses some calls itself (see stop_writing(), on_loss).
  void get(Ms now, Rank rank, std::string_view key, ResponseCallback callback);
  // Reads one page of the keys with the prefix, beginning after the key `after`.
  void range(Ms now, Rank rank, std::string_view prefix, std::string_view after,
             ResponseCallback callback);
  void commit(Ms now, Rank rank, const wire::Txn& txn, ResponseCallback callback);
  // `writes` is the number of puts and deletes.
  void call(Ms now, Rank rank, Method method, std::string path, std::string body,
            ResponseCallback callback, int writes = 0);
  // Long poll for changes of keys with the prefix after the revision `after`.
  void watch(Ms now, std::string_view prefix, std::uint64_t after, ResponseCallback callback);

  // --- leases ---
  // Requests a new lease. The callback gets nullopt if none was granted.
  void acquire_lease(Ms now, std::uint32_t ttl_ms,
                     std::function<void(Ms, std::optional<std::uint64_t> lease)> callback);
  // A former leader may still renew this lease id. If the store reissues it after a data loss,
  // acquire_lease() revokes that lease and requests another.
  void retire_lease(std::uint64_t lease) { retired_leases_.add(lease); }

  // --- feature level of the stored state ---
  // From now on every transaction is conditional on this version of the key kFeatureLevelKey, so
  // that the store rejects writes built for another level, however late they arrive. Until the
  // first call there is no such condition.
  static constexpr const char* kFeatureLevelKey = "level";
  void set_feature_level_version(std::uint64_t version);
  // This process does not support the active level: commit() fails with 503 until
  // set_feature_level_version() is called.
  void stop_writing() { writing_stopped_ = true; }
  // Called when the store has rejected a transaction for its feature level.
  std::function<void(Ms)> on_feature_level_mismatch;

  // --- data loss ---
  // Called when a data loss is detected or recorded. The response that proves it, and those to all
  // requests sent earlier, are replaced by 503: it is unknown whether they took effect. Until
  // recovered() is called, new requests get 503 as well, except for Rank::lease, which leader
  // election and recovery use.
  std::function<void(Ms, const char* reason)> on_loss;
  void enable_data_loss_detection() { data_loss_.enable(); }
  // Records a revision of the store that another controller has read.
  void record_peer_revision(std::uint64_t revision) { data_loss_.record_revision(revision); }
  std::uint64_t latest_revision() const { return data_loss_.revision(); }
  // A data loss was detected by other means than a response's revision.
  void record_loss(Ms now, const char* reason);
  // The stored state has been recovered, and is valid again.
  void recovered() { data_loss_.record_recovery(); }
  bool lost() const { return data_loss_.lost(); }

  // --- rate limits ---
  void set_leading(bool leading) { budget_.set_leading(leading); }
  // See RateBudget.
  void set_follower_write_demand(std::optional<double> writes_per_s) {
    budget_.set_follower_write_demand(writes_per_s);
  }
  // Estimated write demand for the next second, for the leader's budget. At most write_rate().
  double write_demand_per_s(Ms now) {
    return budget_.write_demand_per_s(now, queues_.waiting_writes());
  }
  // Writes per second that this node may use.
  double write_rate() const { return budget_.writes_per_s(); }
  // Time to send the queued writes at this node's write rate, in seconds.
  double backlog_s() const;
  // Whether the reads or the writes queued at this rank would take longer than kMaxStoreQueueS at
  // this node's rate.
  bool is_queue_full(Rank rank) const;

  // See StoreAvailability.
  bool unreachable(Ms now) const { return availability_.unreachable(now); }
  // Sends queued calls as far as the rate limits allow. Called on each tick and for each new call.
  void send_queued(Ms now);

 private:
  using Kind = CallQueues::Kind;

  void enqueue(Ms now, Rank rank, StoreCall call);
  void log_write_counts(Ms now);
  void promote_oldest_low_read(Ms now);
  // Sends due writes of the rank. Returns false if the rate limit stopped it; lower ranks must not
  // send writes then.
  bool send_writes(Ms now, Rank rank);
  // Sends the next call of a queue if it is due and within the rate limits.
  bool send_next(Ms now, Rank rank, Kind kind);
  void send(Rank rank, StoreCall call);

  void on_response(Ms now, Rank rank, StoreCall call, int status, std::string_view body);
  void record(Ms now, const StoreCall& call, int status);
  void log_if_too_large(const StoreCall& call, int status, std::string_view body);
  void handle_feature_level_mismatch(Ms now, int status, std::string_view body);

  Outbox& outbox_;
  RateBudget budget_;
  CallQueues queues_;
  DataLossDetector data_loss_;
  RetiredLeases retired_leases_;
  StoreAvailability availability_;
  WriteCounts write_counts_;
  Ms next_promotion_at_ = 0;
  bool too_large_logged_ = false;
  std::optional<std::uint64_t> feature_level_version_;  // version of kFeatureLevelKey
  bool writing_stopped_ = false;
};

}  // namespace hitchfront::core
