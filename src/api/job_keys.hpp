// Keys of job records in the key-value store.
#pragma once
#include <string>
#include <string_view>

namespace hitchfront::core {

// The record of an unfinished job (wire::UnfinishedJob).
inline std::string unfinished_key(std::string_view id) {
  return "live/" + std::string(id);
}
// The final state of a finished or cancelled job (wire::JobOutcome).
inline std::string outcome_key(std::string_view id) {
  return "over/" + std::string(id);
}

}  // namespace hitchfront::core
