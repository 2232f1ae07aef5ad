// Store keys that are made of a prefix and a name.
#pragma once
#include <string>
#include <string_view>

namespace hitchfront::wire {

// The key of `name` among those that begin with `prefix`.
inline std::string prefixed_key(std::string_view prefix, std::string_view name) {
  std::string key(prefix);
  key += name;
  return key;
}

}  // namespace hitchfront::wire
