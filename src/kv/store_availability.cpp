#include "kv/store_availability.hpp"

#include "settings/constants.hpp"

namespace hitchfront::core {
namespace {
constexpr int kUnanswered = 2;  // calls in a row: one may have been lost
constexpr Ms kSilentMs = 1600;  // and as long as a call may take
}  // namespace

bool StoreAvailability::unreachable(Ms now) const {
  return unanswered_ >= kUnanswered && now - answer_at_ > kSilentMs;
}

void StoreAvailability::record(Ms now, int status, bool watch) {
  if (status != 0) {
    unanswered_ = 0;
    answer_at_ = now;
  } else if (!watch) {
    ++unanswered_;
  }
  const bool served = status != 0 && status != 503;
  if (served) {
    if (down_) out_.log(Event::store_up, static_cast<double>(now - failing_since_) / 1000);
    failing_since_ = 0;
    down_ = false;
  } else if (failing_since_ == 0) {
    failing_since_ = now;
  } else if (!down_ && now - failing_since_ >= settings::kStoreDownLogDelayMs) {
    down_ = true;
    out_.log(Event::store_down);
  }
}

}  // namespace hitchfront::core
