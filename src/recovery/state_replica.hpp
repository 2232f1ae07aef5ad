// A controller's copy of the stored state: what was accepted, cancelled, completed and ended, as
// far as this node has read it or told it to users. After the state service has lost data the
// copies of all controllers that can be reached, and what the store still holds, are joined. The
// join takes the most of each: over beats unfinished, cancelled and done tasks stay so; it does not
// matter in which order, how often, or in how many parts. Pure.
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

namespace hitchfront::recovery {

struct Unfinished {
  std::string record;  // live/<job> as JSON text
  bool cancelled = false;
  std::uint32_t launch_watermark = 0;  // tasks from here on were never launched
  // prog/<job>/<chunk>: what stood there, one text for each copy that differs; done is what any of
  // them says.
  std::map<std::uint32_t, std::set<std::string>> progress;
};

class StateReplica {
 public:
  // `outcomes_most`: final states kept; the oldest are dropped first, and then a job that ended
  // long ago may be unknown after a loss.
  explicit StateReplica(std::size_t outcomes_most) : outcomes_most_(outcomes_most) {}

  // A job is known to be cancelled, and not over; or to be over. Told each time that it is learnt.
  std::function<void(const std::string&job)> on_cancelled, on_outcome;
  void add_unfinished(const std::string& job, std::string record, bool cancelled,
                      std::uint32_t launch_watermark);
  // A newer value of the same store has all that the one before had, and takes its place.
  void progress(const std::string& job, std::uint32_t chunk, std::string text);
  void add_outcome(const std::string& job, const wire::JobOutcome& record);
  // Accepted, as far as is known here.
  bool knows(const std::string& job) const {
    return unfinished_.contains(job) || outcomes_.contains(job);
  }
  std::optional<wire::JobOutcome> outcome_of(const std::string& job) const;
  bool is_cancelled(const std::string& job) const;

  const std::map<std::string, Unfinished>& unfinished() const { return unfinished_; }
  const std::map<std::string, wire::JobOutcome>& outcomes() const { return outcomes_; }
  std::size_t bytes() const;  // about

  // In parts of at most so many bytes, varint coded, each of which can be joined alone.
  std::vector<std::string> encode(std::size_t part_most) const;
  bool join(std::string_view part);  // false: broken; what came before the break is joined
  void join(const StateReplica& other);

 private:
  std::map<std::string, Unfinished> unfinished_;
  std::map<std::string, wire::JobOutcome> outcomes_;
  std::deque<std::string> order_;  // of final states, the oldest first
  std::size_t outcomes_most_;
};

}  // namespace hitchfront::recovery
