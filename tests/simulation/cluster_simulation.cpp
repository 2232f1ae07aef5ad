#include "simulation/cluster_simulation.hpp"

#include <algorithm>

#include "settings/constants.hpp"
#include "simulation/service_quality.hpp"
#include "simulation/starvation_check.hpp"

namespace hitchfront::testing {
namespace {
using nlohmann::json;

constexpr std::int64_t kStepMs = 10;
// Of virtual time between two turns of each part.
constexpr std::int64_t kUsersMs = 50;
constexpr std::int64_t kRunningCheckMs = 500;
constexpr std::int64_t kWaitingCheckMs = 1000;
// Runs that settle at least so long have time for all that was accepted.
constexpr std::int64_t kTimeForAllMs = 100'000;
constexpr std::size_t kReportedViolations = 5;

settings::Platform platform_of(const Scenario& scenario) {
  auto platform = test_platform(scenario.nodes, scenario.zones);
  platform.store.writes_per_s = scenario.write_rps;
  platform.heartbeat_s = static_cast<double>(scenario.heartbeat_ms) / 1000;
  platform.lease_s = scenario.announced_lease_s > 0 ? scenario.announced_lease_s : scenario.lease_s;
  platform.cancel_s = std::max(platform.cancel_s, scenario.lease_s + 10);
  for (auto& team : platform.teams) {
    team.cpus *= scenario.scale;
    team.cpus_max *= scenario.scale;
  }
  return platform;
}

SimulationContext make_context(Scenario scenario, Observations& observed) {
  SimulationContext context(std::move(scenario), observed);
  context.platform = platform_of(context.scenario);
  return context;
}

}  // namespace

ClusterSimulation::ClusterSimulation(Scenario scenario)
    : context_(make_context(std::move(scenario), *this)),
      network_(context_,
               [this](const std::string& endpoint) {
                 const auto zone = controllers_.zone_of(endpoint);
                 return zone.empty() ? surroundings_.zone_of(endpoint) : zone;
               }),
      controllers_(context_, network_),
      surroundings_(context_, network_, controllers_),
      users_(context_, network_, controllers_),
      faults_(context_, controllers_, surroundings_, users_) {
  // The store keeps today's limits until they fall.
  if (context_.scenario.limits_fall_at > 0 && !context_.scenario.hide_next_limits)
    context_.platform.store = test_next_limits(context_.platform.store);
  for (const auto& team : context_.platform.teams) checker.team_limit[team.name] = team.cpus_max;
  checker.cancel_ms = static_cast<std::int64_t>(context_.platform.cancel_s * 1000);
  controllers_.hooks.serve = [this](const auto& from, const auto& call, const auto& back) {
    surroundings_.serve(from, call, back);
  };
  controllers_.hooks.leader_elected = [this] { surroundings_.deliver_held_heartbeats(); };
  surroundings_.hooks.task_done = [this](const std::string& job) { users_.task_done(job); };
  if (context_.scenario.records_launches) record_launches();
  users_.set_cancel_confirmed(
      [this](const std::string& controller) { faults_.cancellation_confirmed(controller); });
  faults_.schedule();
}

void ClusterSimulation::record_launches() {
  controllers_.hooks.effects = [this](const auto& effects) {
    launch_log_.note_effects(now(), effects);
  };
  surroundings_.store().on_set = [this](const auto& key, const auto& value) {
    launch_log_.note_stored(now(), key, value);
  };
  surroundings_.hooks.started = [this](const std::string& job, std::uint32_t task,
                                       std::uint64_t attempt) {
    if (!checker.jobs.at(job).acknowledged_cancelled) return;
    ++(launch_log_.launched_knowing(job, task, attempt) ? cancelled_starts_launched_knowing
                                                        : cancelled_starts_on_their_way);
  };
}

void ClusterSimulation::run() {
  const auto end = context_.scenario.run_ms + context_.scenario.settle_ms;
  const auto quiet_at = faults_.quiet_at();
  for (; now() < end; context_.events.advance(kStepMs)) {
    step();
    check_invariants(quiet_at);
    if (all_over(quiet_at)) break;
  }
  if (context_.scenario.settle_ms >= kTimeForAllMs)
    for (const auto& who : unserved()) checker.violation("served", who);
}

void ClusterSimulation::step() {
  context_.events.run_due();
  controllers_.tick();
  if (now() % kUsersMs == 0) {
    surroundings_.tick();
    users_.act();
    users_.send_invalid_requests();
  }
  surroundings_.send_heartbeats();
}

void ClusterSimulation::check_invariants(std::int64_t quiet_at) {
  if (now() % kRunningCheckMs == 0) checker.tick(now());
  if (now() % kWaitingCheckMs == 0) checker.check_forgotten(now(), quiet_at);
  if (now() % kWaitingCheckMs == 0 && now() > quiet_at)
    check_starvation(context_, users_, surroundings_);
  if (now() % FeatureLevelCheck::kEveryMs == 0)
    level_check_.run(context_, controllers_, surroundings_.store());
}

// Each job has ended, and is known still when all is quiet.
bool ClusterSimulation::all_over(std::int64_t quiet_at) const {
  if (now() <= quiet_at || finished != accepted || !unfinished().empty()) return false;
  return std::all_of(checker.jobs.begin(), checker.jobs.end(), [&](const auto& entry) {
    const auto& [id, job] = entry;
    return !job.accepted || checker.is_called_off(id) || job.answered_at > quiet_at;
  });
}

std::string ClusterSimulation::description() const {
  const auto& scenario = context_.scenario;
  return "seed " + std::to_string(scenario.seed) + ", " + std::to_string(scenario.nodes) +
         " controllers, scale " + std::to_string(scenario.scale);
}

std::vector<std::string> ClusterSimulation::unserved() const {
  return testing::unserved(checker);
}

std::vector<std::string> ClusterSimulation::large_jobs() const {
  return testing::large_jobs(checker);
}

std::vector<std::string> ClusterSimulation::late_to_begin(std::int64_t most_ms) const {
  return testing::late_to_begin(checker, now(), most_ms);
}

core::Controller* ClusterSimulation::leader() {
  const auto* controller = controllers_.leader();
  return controller == nullptr ? nullptr : controller->core.get();
}

std::size_t ClusterSimulation::answered(const std::string& node, int status) const {
  for (const auto& controller : controllers_.all()) {
    if (controller->name != node) continue;
    const auto it = controller->answered.find(status);
    return it == controller->answered.end() ? 0 : it->second;
  }
  return 0;
}

std::string ClusterSimulation::stored(const std::string& key) const {
  const auto* value = surroundings_.store().value(key);
  return value != nullptr ? value->dump() : std::string();
}

std::size_t ClusterSimulation::written(const std::string& prefix) const {
  return surroundings_.store().written(prefix);
}

namespace {

// Changes the body of each response and direct command to a machine.
void change_commands(core::Effects& effects, const std::function<void(json& body)>& change) {
  const auto apply = [&change](std::string& text) {
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("Orders")) return;
    change(body);
    text = body.dump();
  };
  for (auto& reply : effects.replies) apply(reply.body);
  for (auto& call : effects.calls) apply(call.body);
}

}  // namespace

void drop_launches(core::Effects& effects,
                   const std::function<bool(const std::string& job)>& unwanted) {
  change_commands(effects, [&unwanted](json& body) {
    auto kept = json::array();
    for (const auto& order : body["Orders"]) {
      const auto task = order.value("Lot", "");
      const auto job = task.substr(0, task.find('/'));
      if (order.value("Verb", "") != "launch" || !unwanted(job)) kept.push_back(order);
    }
    body["Orders"] = kept;
  });
}

void keep_first_token(core::Effects& effects) {
  change_commands(effects, [](json& body) {
    const auto token = body.value("Warrant", std::uint64_t{0});
    body["Warrant"] = token - (token - 1) % settings::kFencingTokensPerTerm;
  });
}

std::string report(const ClusterSimulation& simulation) {
  const auto& what = simulation.checker.what;
  std::string out;
  for (std::size_t i = 0; i < std::min(what.size(), kReportedViolations); ++i)
    out += what[i] + "\n";
  return out;
}

}  // namespace hitchfront::testing
