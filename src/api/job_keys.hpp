// Where the state service keeps jobs.
#pragma once
#include <string>
#include <string_view>

namespace hitchfront::core {

// The record of a job that is not over.
inline std::string unfinished_key(std::string_view id) {
  return "live/" + std::string(id);
}
// The final state of one that is.
inline std::string outcome_key(std::string_view id) {
  return "over/" + std::string(id);
}

}  // namespace hitchfront::core
