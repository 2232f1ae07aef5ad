// What a drill showed, and whether it passed.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "drills/plan.hpp"
#include "drills/users.hpp"

namespace hitchfront::drills {

struct Result {
  Users::Totals users;
  std::size_t tasks_started = 0;
  std::int64_t refused_ms = 0;  // from the last step until the last refusal of a user's request
  nlohmann::json level;         // as stored; null: none
  std::set<std::string> broken_rules;
  std::vector<std::string> violations;
};

// Nothing broken but what is excused, every accepted job ended, the level as the plan expects, and
// users served again soon after the last step.
bool passed(const Plan& plan, const Result& result);

// A line of figures, then the first violations.
std::string summary(const Result& result);

}  // namespace hitchfront::drills
