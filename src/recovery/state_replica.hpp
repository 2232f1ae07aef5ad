// A controller's replica of the stored state: the jobs that were accepted, cancelled or ended and
// their progress, as far as this node has read them from the store or reported them to users. After
// a data loss the replicas of all reachable controllers are merged with what the store still holds.
//
// The merge is monotonic: an outcome supersedes an unfinished job, and cancelled jobs and completed
// tasks stay so. It is commutative, associative and idempotent, so replicas may arrive in any
// order, repeatedly, and in any number of parts. Does no I/O.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wire/job.hpp"
#include "wire/varint.hpp"

namespace hitchfront::recovery {

// What a replica holds of an unfinished job.
struct ReplicatedJob {
  std::string record;  // the value of live/<job>, JSON; empty: only progress is known
  bool cancelled = false;
  std::uint32_t launch_watermark = 0;  // tasks from this one on were never launched
  // By chunk: the values of prog/<job>/<chunk>, one for each replica that differs. A task is done
  // if any of them has it as done.
  std::map<std::uint32_t, std::set<std::string>> progress;
};

class StateReplica {
 public:
  // Keeps at most `max_outcomes` outcomes and evicts the oldest first. A job whose outcome has been
  // evicted may be unknown after a data loss.
  explicit StateReplica(std::size_t max_outcomes) : max_outcomes_(max_outcomes) {}

  // Called whenever an unfinished job is added or merged as cancelled, also repeatedly.
  std::function<void(const std::string& job)> on_cancelled;
  // Called whenever an outcome is added or merged, also repeatedly.
  std::function<void(const std::string& job)> on_outcome;

  // Merges an unfinished job. No effect if the job's outcome is known.
  void add_unfinished(const std::string& job, std::string record, bool cancelled,
                      std::uint32_t launch_watermark);
  // Replaces the progress of a chunk by a newer value of the same store, which includes the earlier
  // one. No effect if the job's outcome is known.
  void set_progress(const std::string& job, std::uint32_t chunk, std::string text);
  void add_outcome(const std::string& job, const wire::JobOutcome& outcome);
  // Whether the job is known, as unfinished or by its outcome.
  [[nodiscard]] bool contains(const std::string& job) const {
    return unfinished_.contains(job) || outcomes_.contains(job);
  }
  [[nodiscard]] std::optional<wire::JobOutcome> outcome_of(const std::string& job) const;
  // Whether the job is unfinished and cancelled.
  [[nodiscard]] bool is_cancelled(const std::string& job) const;

  const std::map<std::string, ReplicatedJob>& unfinished() const { return unfinished_; }
  const std::map<std::string, wire::JobOutcome>& outcomes() const { return outcomes_; }
  // Estimated memory use.
  [[nodiscard]] std::size_t bytes() const;

  // Encodes the replica as varint-coded parts, each of which can be merged independently. A part
  // exceeds `max_part_bytes` only if a single entry does. An empty replica gives one empty part.
  [[nodiscard]] std::vector<std::string> encode(std::size_t max_part_bytes) const;
  // Merges an encoded part. Returns false if it is malformed; the entries before the malformed one
  // are merged nevertheless.
  bool merge(std::string_view part);
  void merge(const StateReplica& other);

 private:
  bool merge_unfinished(const std::string& job, wire::VarintReader& reader);
  bool merge_progress(const std::string& job, wire::VarintReader& reader);
  bool merge_outcome(const std::string& job, wire::VarintReader& reader);

  std::map<std::string, ReplicatedJob> unfinished_;
  std::map<std::string, wire::JobOutcome> outcomes_;
  std::deque<std::string> outcome_order_;  // oldest first
  std::size_t max_outcomes_;
};

}  // namespace hitchfront::recovery
