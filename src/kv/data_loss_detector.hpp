// Whether the state service has lost something: a response told an older revision than this node,
// or another controller, knew of before the question was asked (every response is of that moment or
// later). Pure.
#pragma once
#include <cstdint>
#include <string_view>

#include "kv/store_rank.hpp"

namespace hitchfront::core {

class DataLossDetector {
 public:
  // What was known when a question was asked.
  struct Asked {
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0;
  };

  // Before it is called, revisions are not looked at.
  void enable() { enabled_ = true; }
  Asked asked() const { return {revision_, epoch_}; }
  // Takes a response's revision, where it tells one. True: it proves a loss.
  bool shows_loss(const Asked& asked, std::string_view response);
  // Another controller has seen this revision.
  void note_revision(std::uint64_t revision);
  std::uint64_t revision() const { return revision_; }  // the newest that is known

  // Something was lost; also where it is lost already, since what has been read since the first
  // loss does not hold either.
  void lose();
  void recover();  // what stands there now is the truth again
  bool lost() const { return lost_; }

  std::uint64_t epoch() const { return epoch_; }  // changes with each loss and recovery
  // Whether a response is no longer to be believed: asked for before a loss or a recovery, or while
  // something is lost. Then only the rank goes on by which a leader is found and the state rebuilt.
  bool hides(const Asked& asked, StoreRank rank) const {
    return asked.epoch != epoch_ || blocks(rank);
  }
  // Whether such calls are refused while something is lost.
  bool blocks(StoreRank rank) const { return lost_ && rank != StoreRank::lease; }

 private:
  bool enabled_ = false, lost_ = false;
  std::uint64_t revision_ = 0, epoch_ = 0;
};

}  // namespace hitchfront::core
