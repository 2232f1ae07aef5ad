// Maximum size in bytes of the encoded heartbeats or responses in one relay value.
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
