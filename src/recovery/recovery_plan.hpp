// What has to be written so that everything known of the stored state after a data loss stands in
// the store. Pure: the merged replicas and what the store still holds come in, writes go out.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "recovery/state_replica.hpp"
#include "wire/progress.hpp"

namespace hitchfront::recovery {

// A value as it stands in the store.
struct StoredValue {
  std::uint64_t version = 0;
  std::string text;  // JSON
};
using StoredValues = std::map<std::string, StoredValue>;  // by key

// Puts a value, or removes the key.
struct PlannedWrite {
  std::string key;
  std::string text;  // JSON; empty: the key is to be removed
  [[nodiscard]] bool removes() const { return text.empty(); }
  [[nodiscard]] std::size_t bytes() const { return key.size() + text.size(); }
  bool operator==(const PlannedWrite&) const = default;
};

struct RecoveryPlanOptions {
  // In which form progress is written.
  wire::ProgressForm progress_form = wire::ProgressForm::bitmap;
  // The launch watermarks of the replicas may be behind: every task of an unfinished job may have
  // been launched.
  bool assume_all_launched = false;
};

// Limits of one transaction.
struct RecoveryBatchLimits {
  std::size_t writes = 0;
  // Further jobs are added only below this; the job that passes it is still taken.
  std::size_t bytes = 0;
};

class RecoveryPlan {
 public:
  RecoveryPlan() = default;  // nothing to write
  RecoveryPlan(const StateReplica& merged, const StoredValues& stored,
               const RecoveryPlanOptions& options);

  [[nodiscard]] bool empty() const { return jobs_.empty(); }
  // The writes of the next transaction: those of one job together, unless they alone are more than
  // `limits.writes`. At least one where the plan is not empty. Given again until it is confirmed.
  [[nodiscard]] std::vector<PlannedWrite> next_batch(const RecoveryBatchLimits& limits) const;
  // The first `writes` writes of the plan are stored.
  void confirm(std::size_t writes);

 private:
  using JobWrites = std::vector<PlannedWrite>;
  void add(JobWrites writes);

  std::deque<JobWrites> jobs_;  // none is empty
};

}  // namespace hitchfront::recovery
