// How many characters of heartbeats, or of responses, one value of the relay may have.
#pragma once
#include <algorithm>
#include <cstddef>

#include "settings/constants.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

[[nodiscard]] inline std::size_t relay_value_limit(const settings::Platform& platform) {
  return std::min(settings::kMaxRelayValueBytes,
                  platform.store.value_bytes() - settings::kRelayValueOverheadBytes);
}

}  // namespace hitchfront::core
