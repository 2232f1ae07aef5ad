// A controller's replica of the stored state: which jobs were accepted, cancelled, completed and
// ended, as far as this node has read it or told it to users. After the store has lost data the
// replicas of all controllers that can be reached, and what the store still holds, are joined.
//
// The join takes the most of each: a final state wins over an unfinished job; cancelled jobs and
// done tasks stay so. It is commutative, associative and idempotent, so it does not matter in which
// order, how often, or in how many parts replicas come. Pure.
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

// An unfinished job.
struct Unfinished {
  std::string record;  // live/<job> as JSON text; empty: only progress is known
  bool cancelled = false;
  std::uint32_t launch_watermark = 0;  // tasks from here on were never launched
  // prog/<job>/<chunk>: what stood there, one text for each replica that differs; done is what any
  // of them says.
  std::map<std::uint32_t, std::set<std::string>> progress;
};

class StateReplica {
 public:
  // `outcomes_most`: final states kept; the oldest are dropped first, and then a job that ended
  // long ago may be unknown after a data loss.
  explicit StateReplica(std::size_t outcomes_most) : outcomes_most_(outcomes_most) {}

  // A job is known to be cancelled, and not over. Called each time that this is learnt.
  std::function<void(const std::string& job)> on_cancelled;
  // A job is known to be over. Called each time that this is learnt.
  std::function<void(const std::string& job)> on_outcome;

  // Joins what is known of an unfinished job; nothing where the job is over.
  void add_unfinished(const std::string& job, std::string record, bool cancelled,
                      std::uint32_t launch_watermark);
  // A newer value of the same store has all that the one before had, and takes its place.
  void set_progress(const std::string& job, std::uint32_t chunk, std::string text);
  void add_outcome(const std::string& job, const wire::JobOutcome& record);
  // Accepted, as far as is known here.
  [[nodiscard]] bool knows(const std::string& job) const {
    return unfinished_.contains(job) || outcomes_.contains(job);
  }
  [[nodiscard]] std::optional<wire::JobOutcome> outcome_of(const std::string& job) const;
  [[nodiscard]] bool is_cancelled(const std::string& job) const;  // and not over

  const std::map<std::string, Unfinished>& unfinished() const { return unfinished_; }
  const std::map<std::string, wire::JobOutcome>& outcomes() const { return outcomes_; }
  // Memory, estimated.
  [[nodiscard]] std::size_t bytes() const;

  // In parts, varint coded, each of which can be joined alone; of at most `part_most` bytes, unless
  // a single entry is longer. One part, which is empty, where nothing is known.
  [[nodiscard]] std::vector<std::string> encode(std::size_t part_most) const;
  // False: the part is broken; what came before the break is joined.
  bool join(std::string_view part);
  void join(const StateReplica& other);

 private:
  bool join_unfinished(const std::string& job, wire::VarintReader& in);
  bool join_progress(const std::string& job, wire::VarintReader& in);
  bool join_outcome(const std::string& job, wire::VarintReader& in);

  std::map<std::string, Unfinished> unfinished_;
  std::map<std::string, wire::JobOutcome> outcomes_;
  std::deque<std::string> outcome_order_;  // the oldest first
  std::size_t outcomes_most_;
};

}  // namespace hitchfront::recovery
