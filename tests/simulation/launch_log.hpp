// Tells a task that was already on its way when its job's cancellation was stored from one that a
// controller launched afterwards.
#pragma once
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>

#include "core/effects.hpp"

namespace hitchfront::testing {

class LaunchLog {
 public:
  // What a controller wants done, in the order in which controllers want it.
  void note_effects(const core::Effects& effects);
  // What the state service has just stored.
  void note_stored(const std::string& key, const nlohmann::json& value);
  // The cancellation was stored before any controller sent this attempt's launch. Also true of an
  // attempt that no controller has sent.
  bool launched_after_cancellation(const std::string& job, std::uint32_t task,
                                   std::uint64_t attempt) const;

 private:
  using Attempt = std::tuple<std::string, std::uint32_t, std::uint64_t>;

  void note_commands(const std::string& body);

  std::set<std::string> cancelled_;             // jobs whose cancellation is stored
  std::map<Attempt, bool> after_cancellation_;  // by attempt, as of its first launch
};

}  // namespace hitchfront::testing
