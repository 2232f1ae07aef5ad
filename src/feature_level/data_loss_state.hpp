// A controller's knowledge of a loss of stored data: the generation of the stored state that lost
// data, and the feature level before the loss, merged from what all controllers knew. Does no I/O.
//
// The stored state has a store incarnation (an identifier that is created once) and a generation
// that counts recoveries (wire/feature_level.hpp). For a controller a loss ends when it reads a
// later generation than the lost one.
#pragma once
#include <cstdint>
#include <string>

#include "membership/members.hpp"
#include "wire/feature_level.hpp"

namespace hitchfront::feature_level {

using membership::Ms;

// Evidence that the store has lost data. In addition the store client detects revisions that go
// backwards.
enum class DataLossEvidence : std::uint8_t {
  peer,        // another controller reported the loss
  generation,  // the stored generation is older than one reported by a peer
  term,        // the stored term is older than a term known to this controller
  record,      // a record is missing, or older than the version read before
};
// The value of the field `why` of the log event state.lost.
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
  // Data has been lost and not yet recovered.
  [[nodiscard]] bool lost() const { return lost_; }
  // The latest generation known to have lost data.
  [[nodiscard]] std::uint64_t lost_generation() const { return lost_generation_; }
  // Time since the loss was detected; valid only while lost().
  [[nodiscard]] Ms ms_since_loss(Ms now) const { return now - lost_since_; }

  // Sets the generation that has lost data according to the evidence. Called before begin().
  void set_lost_generation(std::uint64_t generation) { lost_generation_ = generation; }
  // Records a loss, which may be a further one before the recovery. `level`: as last read.
  void begin(Ms now, const wire::FeatureLevel& level);
  [[nodiscard]] bool is_recovered_by(const wire::FeatureLevel& level) const {
    return level.generation > lost_generation_;
  }
  void end() { lost_ = false; }

  // Records a generation reported by another controller; the latest one is kept.
  void record_peer_generation(std::uint64_t generation);
  [[nodiscard]] std::uint64_t peer_generation() const { return peer_generation_; }
  // Widens the level before the loss so that it also covers the level another controller knew.
  void merge_level_before_loss(const wire::FeatureLevel& level);
  [[nodiscard]] const wire::FeatureLevel& level_before_loss() const { return level_before_loss_; }

  // The level whose write completes the recovery: covers the level before the loss and the one
  // `stored` now, in the next generation. `new_incarnation` is used if the state has none so far.
  [[nodiscard]] wire::FeatureLevel recovered_level(const wire::FeatureLevel& stored,
                                                   const std::string& new_incarnation) const;

 private:
  bool lost_ = false;
  Ms lost_since_ = 0;
  std::uint64_t lost_generation_ = 0, peer_generation_ = 0;
  wire::FeatureLevel level_before_loss_;
};

}  // namespace hitchfront::feature_level
