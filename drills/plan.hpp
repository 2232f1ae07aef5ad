// A drill's plan: how many controllers of which build, how long users submit jobs, and what is
// done to the controllers and the state service when. docs/drills.md describes the JSON.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace hitchfront::drills {

// `node` is the name of a controller, "leader" (by the store) or "all".
struct ReplaceController {
  std::string node;
  std::string build;  // which it runs from then on
};
struct KillController {
  std::string node;
};
struct FreezeController {
  std::string node;
  std::int64_t ms = 0;
};
struct RollBackStore {
  std::int64_t ms = 0;  // to the state of so long before
};
struct LoseStore {};
struct BeginStoreOutage {};
struct EndStoreOutage {};
using Action = std::variant<ReplaceController, KillController, FreezeController, RollBackStore,
                            LoseStore, BeginStoreOutage, EndStoreOutage>;

struct Step {
  std::int64_t at_ms = 0;
  Action action;
  nlohmann::json source;  // as the plan has it, for the history
};

struct Plan {
  int controllers = 3;
  std::string start_build = "new";
  // A build that heeds no loss of the state service; empty: none. See docs/drills.md.
  std::string loss_unaware_build;
  std::int64_t run_ms = 60'000;     // users submit jobs
  std::int64_t settle_ms = 60'000;  // then, at most, until all have ended
  double jobs_per_s = 1;
  std::uint64_t expect_level = 0;  // at which the stored state has to end; 0: any
  std::vector<Step> steps;         // in the order of their moments
};

// Throws std::exception with a message for the user where something is missing or unknown.
Plan parse_plan(const nlohmann::json& plan);

}  // namespace hitchfront::drills
