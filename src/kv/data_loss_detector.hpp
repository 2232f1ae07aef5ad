// Detects data loss in the key-value store. The store is linearizable, so a response must not carry
// an older revision than the newest one that this node or another controller knew when the request
// was sent. Performs no I/O.
#pragma once
#include <cstdint>
#include <string_view>

#include "kv/store_rank.hpp"

namespace hitchfront::core {

class DataLossDetector {
 public:
  // State at the time of sending a request; its response is checked against it.
  struct Baseline {
    std::uint64_t revision = 0;  // the newest known
    std::uint64_t epoch = 0;
  };

  // Until this is called, revisions in responses are ignored.
  void enable() { enabled_ = true; }
  Baseline baseline() const { return {revision_, epoch_}; }
  // Returns true if the response proves a data loss; otherwise records its revision, if it has one.
  bool detect_loss(const Baseline& baseline, std::string_view response);
  // Records a revision reported by another controller. Ignored while data is lost.
  void record_revision(std::uint64_t revision);
  std::uint64_t revision() const { return revision_; }  // the newest known

  // Begins a new epoch. Called again for a further loss during recovery, since reads since the
  // first loss are then invalid as well.
  void record_loss();
  // The stored state is valid again. Begins a new epoch.
  void record_recovery();
  bool lost() const { return lost_; }

  std::uint64_t epoch() const { return epoch_; }  // changes with each loss and recovery
  // Whether a response is invalid: its request was sent before a loss or a recovery, or its rank is
  // blocked.
  bool must_discard(const Baseline& baseline, StoreRank rank) const {
    return baseline.epoch != epoch_ || blocks(rank);
  }
  // While data is lost only Rank::lease is served, which leader election and recovery use.
  bool blocks(StoreRank rank) const { return lost_ && rank != StoreRank::lease; }

 private:
  bool enabled_ = false, lost_ = false;
  std::uint64_t revision_ = 0, epoch_ = 0;
};

}  // namespace hitchfront::core
