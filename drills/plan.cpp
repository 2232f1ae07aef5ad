#include "drills/plan.hpp"

#include <cmath>
#include <stdexcept>

namespace hitchfront::drills {
namespace {
using nlohmann::json;

std::int64_t to_ms(double seconds) {
  return std::llround(seconds * 1000);
}

std::int64_t ms_at(const json& step, const char* field) {
  return to_ms(step.at(field).get<double>());
}

Action parse_action(const json& step) {
  const auto what = step.at("do").get<std::string>();
  if (what == "back") return RollBackStore{ms_at(step, "by")};
  if (what == "lose-all") return LoseStore{};
  if (what == "outage") return BeginStoreOutage{};
  if (what == "mend") return EndStoreOutage{};
  const auto node = step.at("node").get<std::string>();
  if (what == "replace") return ReplaceController{node, step.at("with").get<std::string>()};
  if (what == "kill") return KillController{node};
  if (what == "freeze") return FreezeController{node, ms_at(step, "for")};
  throw std::invalid_argument("unknown step: " + what);
}

}  // namespace

Plan parse_plan(const json& plan) {
  Plan p;
  p.controllers = plan.value("controllers", p.controllers);
  p.start_build = plan.value("start", p.start_build);
  p.loss_unaware_build = plan.value("loss_unaware", p.loss_unaware_build);
  p.run_ms = to_ms(plan.value("run_s", 60.0));
  p.settle_ms = to_ms(plan.value("settle_s", 60.0));
  p.jobs_per_s = plan.value("jobs_per_s", p.jobs_per_s);
  p.expect_level = plan.value("expect_level", p.expect_level);
  for (const auto& step : plan.value("steps", json::array()))
    p.steps.push_back({ms_at(step, "at"), parse_action(step), step});
  return p;
}

}  // namespace hitchfront::drills
