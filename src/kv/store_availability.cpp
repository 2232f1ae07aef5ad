#include "kv/store_availability.hpp"

#include "settings/constants.hpp"

namespace hitchfront::core {
namespace {
// The store is unreachable after this many unanswered calls in a row, since one may have been lost,
// and this long without a response, which exceeds kStoreCallTimeoutMs.
constexpr int kMinUnansweredCalls = 2;
constexpr Ms kUnreachableTimeoutMs = 1600;
}  // namespace

bool StoreAvailability::unreachable(Ms now) const {
  return consecutive_unanswered_ >= kMinUnansweredCalls &&
         now - last_response_at_ > kUnreachableTimeoutMs;
}

void StoreAvailability::record(Ms now, int status, bool watch) {
  if (status != 0) {
    consecutive_unanswered_ = 0;
    last_response_at_ = now;
  } else if (!watch) {
    ++consecutive_unanswered_;
  }
  const bool served = status != 0 && status != 503;
  if (served) {
    if (outage_logged_)
      outbox_.log(Event::store_up, static_cast<double>(now - failing_since_) / 1000);
    failing_since_ = 0;
    outage_logged_ = false;
  } else if (failing_since_ == 0) {
    failing_since_ = now;
  } else if (!outage_logged_ && now - failing_since_ >= settings::kStoreDownLogDelayMs) {
    outage_logged_ = true;
    outbox_.log(Event::store_down);
  }
}

}  // namespace hitchfront::core
