// Store keys that consist of a prefix and a name.
#pragma once
#include <string>
#include <string_view>

namespace hitchfront::wire {

inline std::string prefixed_key(std::string_view prefix, std::string_view name) {
  std::string key(prefix);
  key += name;
  return key;
}

}  // namespace hitchfront::wire
