// What a controller knows of a loss of stored data: which generation of the stored state has lost
// something, and the most that anybody knew of its feature level before. Pure.
//
// The stored state has a store incarnation, drawn once, and a generation that counts recoveries
// (wire/feature_level.hpp). A loss is over for a controller when it reads a later generation than
// the lost one.
#pragma once
#include <cstdint>
#include <string>

#include "membership/members.hpp"
#include "wire/feature_level.hpp"

namespace hitchfront::feature_level {

using membership::Ms;

// What shows a controller that the store has lost data. The store client sees more of it by itself:
// revisions that go back.
enum class DataLossEvidence : std::uint8_t {
  peer,        // another controller says so
  generation,  // the stored generation is older than one that a peer has named
  term,        // the stored term is older than one that is known
  record,      // a record is gone, or older than it was
};
// Field `why` of the log event state.lost.
[[nodiscard]] constexpr const char* log_text(DataLossEvidence evidence) {
  switch (evidence) {
    case DataLossEvidence::peer:
      return "told";
    case DataLossEvidence::generation:
      return "generation";
    case DataLossEvidence::term:
      return "term";
    case DataLossEvidence::record:
      return "record";
  }
  return "";
}

class DataLossState {
 public:
  // Data is lost and not yet recovered.
  [[nodiscard]] bool lost() const { return lost_; }
  // The newest generation that is known to have lost something.
  [[nodiscard]] std::uint64_t lost_generation() const { return lost_generation_; }
  // ms since the loss became known.
  [[nodiscard]] Ms lost_for(Ms now) const { return now - lost_since_; }

  // Before begin(): the generation that is lost, as far as the evidence tells.
  void expect(std::uint64_t generation) { lost_generation_ = generation; }
  // The store has lost data, perhaps once more before it was recovered. `level`: as last read.
  void begin(Ms now, const wire::FeatureLevel& level);
  [[nodiscard]] bool is_recovered_by(const wire::FeatureLevel& level) const {
    return level.generation > lost_generation_;
  }
  void end() { lost_ = false; }

  // A generation that another controller has named.
  void note_peer_generation(std::uint64_t generation);
  [[nodiscard]] std::uint64_t peer_generation() const { return peer_generation_; }
  // Another controller's level before the loss.
  void note_level_before(const wire::FeatureLevel& level);
  // The most that is known of the level before the loss.
  [[nodiscard]] const wire::FeatureLevel& level_before() const { return before_; }

  // The level that ends the loss: what was known before and what is `stored` now, one generation
  // on. `new_incarnation` is taken where the state has had none so far.
  [[nodiscard]] wire::FeatureLevel recovered_level(const wire::FeatureLevel& stored,
                                                   const std::string& new_incarnation) const;

 private:
  bool lost_ = false;
  Ms lost_since_ = 0;
  std::uint64_t lost_generation_ = 0, peer_generation_ = 0;
  wire::FeatureLevel before_;
};

}  // namespace hitchfront::feature_level
