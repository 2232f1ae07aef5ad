// Plans the writes that bring the store up to date after a data loss: the difference between the
// merged replicas and the values that the store still holds. Does no I/O.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "recovery/state_replica.hpp"
#include "wire/progress.hpp"

namespace hitchfront::recovery {

struct StoredValue {
  std::uint64_t version = 0;
  std::string text;  // JSON
};
using StoredValues = std::map<std::string, StoredValue>;  // by key

// Puts a value or removes a key.
struct PlannedWrite {
  std::string key;
  std::string text;  // JSON; empty: the key is removed
  [[nodiscard]] bool removes() const { return text.empty(); }
  [[nodiscard]] std::size_t bytes() const { return key.size() + text.size(); }
  bool operator==(const PlannedWrite&) const = default;
};

struct RecoveryPlanOptions {
  // The encoding in which progress is written.
  wire::ProgressForm progress_form = wire::ProgressForm::bitmap;
  // Set if the replicas' launch watermarks may be stale: every task of an unfinished job is then
  // assumed to have been launched.
  bool assume_all_launched = false;
};

// Limits of one transaction.
struct RecoveryBatchLimits {
  std::size_t writes = 0;
  // Soft limit: no further job is added once the batch has reached it.
  std::size_t bytes = 0;
};

class RecoveryPlan {
 public:
  RecoveryPlan() = default;  // nothing to write
  RecoveryPlan(const StateReplica& merged, const StoredValues& stored,
               const RecoveryPlanOptions& options);

  [[nodiscard]] bool empty() const { return job_writes_.empty(); }
  // Returns the writes of the next transaction, at least one unless the plan is empty. Keeps the
  // writes of a job together, unless they alone exceed `limits.writes`. Returns the same batch
  // until it is confirmed.
  [[nodiscard]] std::vector<PlannedWrite> next_batch(const RecoveryBatchLimits& limits) const;
  // Removes the first `write_count` writes from the plan, because they have been stored.
  void confirm(std::size_t write_count);

 private:
  using JobWrites = std::vector<PlannedWrite>;
  void add(JobWrites writes);

  std::deque<JobWrites> job_writes_;  // one element per job, none of them empty
};

}  // namespace hitchfront::recovery
