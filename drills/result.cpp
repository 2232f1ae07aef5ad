#include "drills/result.hpp"

#include <algorithm>
#include <cstdio>

namespace hitchfront::drills {
namespace {

// Within which the last refusal has to come after the last step.
constexpr std::int64_t kMaxRefusedMs = 20'000;
constexpr std::size_t kPrintedViolations = 3;

bool is_at_expected_level(const Plan& plan, const nlohmann::json& level) {
  if (plan.expect_level == 0) return true;
  return level.is_object() && level.value("active", std::uint64_t{0}) == plan.expect_level &&
         level.value("low", std::uint64_t{0}) == plan.expect_level;
}

}  // namespace

bool passed(const Plan& plan, const Result& result) {
  const auto& users = result.users;
  const bool rules_kept = result.violations.size() == users.excused_violations;
  const bool all_ended = users.accepted > 0 && users.finished + users.lost_jobs >= users.accepted;
  return rules_kept && all_ended && is_at_expected_level(plan, result.level) &&
         result.refused_ms <= kMaxRefusedMs;
}

std::string summary(const Result& result) {
  const auto& users = result.users;
  std::string rules;
  for (const auto& rule : result.broken_rules) rules += " " + rule;
  char figures[512];
  std::snprintf(figures, sizeof figures,
                "%zu of %zu jobs finished, %zu tasks started, answers 2xx %zu, other %zu, refused "
                "until %.1f s after the last step, level ",
                users.finished, users.accepted, result.tasks_started, users.good_answers,
                users.other_answers, static_cast<double>(result.refused_ms) / 1000);
  std::string out = figures;
  out += result.level.is_null() ? "none" : result.level.dump();
  out += ", broken:" + (rules.empty() ? " nothing" : rules);
  out += " (" + std::to_string(users.excused_violations) + " of " +
         std::to_string(result.violations.size()) + " by the loss-unaware build)\n";
  const auto printed = std::min(result.violations.size(), kPrintedViolations);
  for (std::size_t i = 0; i < printed; ++i) out += "  " + result.violations[i] + "\n";
  return out;
}

}  // namespace hitchfront::drills
