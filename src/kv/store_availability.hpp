// Whether the state service responds. An outage is logged once, and once when it is over.
#pragma once
#include "core/effects.hpp"

namespace hitchfront::core {

class StoreAvailability {
 public:
  explicit StoreAvailability(Outbox& out) : out_(out) {}

  // A call has ended. `status` 0: without a response. A watch that is held in an outage says
  // nothing either way.
  void record(Ms now, int status, bool watch);
  // Nothing has come for a while: not even a refusal, as in an outage.
  bool unreachable(Ms now) const;

 private:
  Outbox& out_;
  int unanswered_ = 0;    // calls in a row
  Ms answer_at_ = 0;      // the last response, whatever it said
  Ms failing_since_ = 0;  // 0: the last call was served
  bool down_ = false;     // and that was logged
};

}  // namespace hitchfront::core
