// What is known of single jobs: final states that this node has answered with, its replica of the
// stored state, and the store.
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

// What the store has of a job: at most one of the two records, and neither where it knows none.
struct FoundJob {
  std::optional<wire::UnfinishedJob> unfinished;
  std::optional<wire::JobOutcome> outcome;
  std::uint64_t version = 0;  // of the unfinished record
  bool failed = false;        // the store can't be asked

  bool exists() const { return unfinished || outcome; }
  bool cancelled() const { return outcome ? outcome->cancelled : unfinished->cancelled; }
};

class JobRecords {
 public:
  using OnFound = std::function<void(Ms now, const FoundJob& found)>;
  JobRecords(StoreClient& store, recovery::StateReplica& replica, JobApiHost& host);

  // Asks the store, unless the job's final state is known.
  void look_up(Ms now, const std::string& id, OnFound on_found);

  // Without asking the store.
  std::optional<wire::JobOutcome> known_outcome(const std::string& id) const;
  bool is_known_cancelled(const std::string& id) const;
  // Whether a user was answered here with the job's final state, not long ago.
  bool has_answered_outcome(const std::string& id) const { return outcomes_.contains(id); }
  const recovery::StateReplica& replica() const { return replica_; }

  // Keeps a final state for repeated polls.
  void remember_outcome(const std::string& id, wire::JobOutcome record);
  // Takes what a user is about to be told into the replica, and gives it to the other controllers.
  void publish_unfinished(const std::string& id, const wire::UnfinishedJob& record);
  void publish_outcome(const std::string& id, const wire::JobOutcome& record);
  // As read from the store by the cache of unfinished jobs.
  void record_read(const std::string& id, const nlohmann::json& value,
                   const wire::UnfinishedJob& record, std::uint64_t stamp);

 private:
  FoundJob unfinished_from(const std::string& id, std::string_view body);
  FoundJob outcome_from(const std::string& id, int status, std::string_view body);

  StoreClient& store_;
  recovery::StateReplica& replica_;
  JobApiHost& host_;
  std::unordered_map<std::string, wire::JobOutcome> outcomes_;
  std::deque<std::string> outcome_order_;  // the oldest first
};

}  // namespace hitchfront::core
