// Tracks whether the key-value store responds. Logs the start and the end of an outage.
#pragma once
#include "core/effects.hpp"

namespace hitchfront::core {

class StoreAvailability {
 public:
  explicit StoreAvailability(Outbox& outbox) : outbox_(outbox) {}

  // Records the result of a call; `status` 0: no response. An unanswered watch does not count
  // towards unreachable().
  void record(Ms now, int status, bool watch);
  // Several calls in a row, over some time, have had no response at all. A store that responds with
  // errors is reachable.
  bool unreachable(Ms now) const;

 private:
  Outbox& outbox_;
  int consecutive_unanswered_ = 0;
  Ms last_response_at_ = 0;  // with any status
  Ms failing_since_ = 0;     // 0: the last call was served
  bool outage_logged_ = false;
};

}  // namespace hitchfront::core
