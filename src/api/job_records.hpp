// Looks up the records of individual jobs: in the cache of final states, in this node's replica of
// the stored state, and in the store.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "api/job_api_host.hpp"
#include "kv/store_client.hpp"
#include "recovery/state_replica.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {

// The result of looking up a job: at most one of the two records; neither if the job is unknown.
struct JobLookup {
  std::optional<wire::UnfinishedJob> unfinished;
  std::optional<wire::JobOutcome> outcome;
  std::uint64_t version = 0;  // of the unfinished job's key
  bool failed = false;        // the store is unavailable, or the record is malformed

  bool exists() const { return unfinished || outcome; }
  // Only if exists().
  bool cancelled() const { return outcome ? outcome->cancelled : unfinished->cancelled; }
};

class JobRecords {
 public:
  using OnLookup = std::function<void(Ms now, const JobLookup& lookup)>;
  JobRecords(StoreClient& store, recovery::StateReplica& replica, JobApiHost& host);

  // Reads the store, unless the job's final state is known.
  void look_up(Ms now, const std::string& id, OnLookup on_lookup);

  // From the cache and the replica, without reading the store.
  std::optional<wire::JobOutcome> known_outcome(const std::string& id) const;
  bool is_known_cancelled(const std::string& id) const;
  bool has_cached_outcome(const std::string& id) const { return cached_outcomes_.contains(id); }
  const recovery::StateReplica& replica() const { return replica_; }

  // Caches a final state for repeated polls; evicts the oldest beyond kMaxCachedOutcomes.
  void cache_outcome(const std::string& id, wire::JobOutcome record);
  // Adds a record that a response to a user is about to be based on to the replica, and sends it to
  // the other controllers.
  void publish_unfinished(const std::string& id, const wire::UnfinishedJob& record);
  void publish_outcome(const std::string& id, const wire::JobOutcome& record);
  // Called for each record that the cache of unfinished jobs reads. `version`: of the job's key.
  void on_record_read(const std::string& id, const nlohmann::json& value,
                      const wire::UnfinishedJob& record, std::uint64_t version);

 private:
  // Decode a response of the store; a final or cancelled state is also cached and published.
  JobLookup process_unfinished(const std::string& id, std::string_view body);
  JobLookup process_outcome(const std::string& id, int status, std::string_view body);

  StoreClient& store_;
  recovery::StateReplica& replica_;
  JobApiHost& host_;
  std::unordered_map<std::string, wire::JobOutcome> cached_outcomes_;
  std::deque<std::string> cached_outcome_order_;  // oldest first
};

}  // namespace hitchfront::core
