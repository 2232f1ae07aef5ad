// Tells a launch that was sent when no controller could know yet that its job is cancelled from one
// that was sent later.
#pragma once
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "core/effects.hpp"
#include "simulation/invariant_checker.hpp"

namespace hitchfront::testing {

class LaunchLog {
 public:
  // Within which a controller hears by its watch of what is stored (ms): the way there, and what
  // it was doing meanwhile.
  static constexpr std::int64_t kWatchMs = 30;

  explicit LaunchLog(const InvariantChecker& checker) : checker_(checker) {}

  // What a controller wants done, in the order in which controllers want it.
  void note_effects(std::int64_t now, const core::Effects& effects);
  // What the state service has just stored.
  void note_stored(std::int64_t now, const std::string& key, const nlohmann::json& value);
  // This attempt's first launch was sent after a user was answered that its job is cancelled, or
  // longer than kWatchMs after that was stored. Also true of an attempt that no controller sent.
  bool launched_knowing(const std::string& job, std::uint32_t task, std::uint64_t attempt) const;

 private:
  using Attempt = std::tuple<std::string, std::uint32_t, std::uint64_t>;

  void note_commands(std::int64_t now, const std::string& body);
  bool is_known_cancelled(std::int64_t now, const std::string& job) const;

  const InvariantChecker& checker_;
  std::map<std::string, std::int64_t> cancelled_at_;  // by job, when that was stored
  std::map<Attempt, bool> knowing_;                   // as of its first launch
};

}  // namespace hitchfront::testing
