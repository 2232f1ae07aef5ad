#include "drills/drill.hpp"

#include <algorithm>

#include "simulators/clock.hpp"

namespace hitchfront::drills {
namespace {

constexpr std::int64_t kTickMs = 50;
constexpr std::int64_t kMaxMs = 600'000;  // after which a drill is over in any case
constexpr double kTaskS = 2;              // that every task runs
constexpr double kTeamLimit = 16;         // processors

std::string task_name(const std::string& job, std::uint32_t task) {
  return job + "/" + std::to_string(task);
}

std::unique_ptr<simulators::Host> make_host(event_base* base, const Options& options,
                                            const Controllers& controllers) {
  const std::vector<wire::MachineType> types = {{"small", 4, 0, 16, 50, 5, 0.2, 0.06, 1, {"east"}}};
  return std::make_unique<simulators::Host>(
      base, state_address(options), cloud_address(options), controllers.addresses(), types,
      [](const std::string&, std::uint32_t) { return kTaskS; });
}

}  // namespace

Drill::Drill(Plan plan, const Options& options)
    : plan_(std::move(plan)),
      history_(options.directory + "/history.jsonl"),
      base_(event_base_new()),
      controllers_(base_.get(), plan_.controllers, plan_.start_build, options, history_),
      users_(plan_, options.seed, controllers_, checker_, history_),
      host_(make_host(base_.get(), options, controllers_)) {
  checker_.team_limit["red"] = kTeamLimit;
  checker_.cancel_ms = kCancelMs;
  watch_machines();
}

Drill::~Drill() {
  controllers_.end_all();
}

void Drill::watch_machines() {
  host_->on_started = [this](const auto& place, const std::string& job, std::uint32_t task) {
    checker_.start(history_.now(), place, job, task);
    history_.add({{"event", "started"}, {"task", task_name(job, task)}, {"machine", place.name}});
  };
  host_->on_left = [this](const auto& place, const std::string& job, std::uint32_t task) {
    checker_.leave(place, job, task);
    history_.add({{"event", "left"}, {"task", task_name(job, task)}, {"machine", place.name}});
  };
  host_->on_done = [this](const auto&, const std::string& job, std::uint32_t task) {
    checker_.done(history_.now(), job, task);
  };
}

Result Drill::run() {
  controllers_.start_all();
  auto* tick_event = event_new(
      base_.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Drill*>(self)->tick(); }, this);
  const timeval every{0, kTickMs * 1000};
  event_add(tick_event, &every);
  event_base_dispatch(base_.get());
  event_free(tick_event);
  return result();
}

void Drill::tick() {
  keep_stores();
  while (next_step_ < plan_.steps.size() && history_.now() >= plan_.steps[next_step_].at_ms)
    play(plan_.steps[next_step_++]);
  controllers_.tick();
  users_.act();
  checker_.tick(history_.now());
  if (is_over()) event_base_loopbreak(base_.get());
}

bool Drill::is_over() const {
  const auto now = history_.now();
  const bool all_played = now > plan_.run_ms && next_step_ == plan_.steps.size();
  return (all_played && users_.all_over()) ||
         now > std::min(plan_.run_ms + plan_.settle_ms, kMaxMs);
}

// For the rollbacks to come.
void Drill::keep_stores() {
  for (std::size_t i = 0; i < plan_.steps.size(); ++i) {
    const auto* rollback = std::get_if<RollBackStore>(&plan_.steps[i].action);
    if (rollback == nullptr || kept_stores_.contains(i)) continue;
    if (history_.now() >= plan_.steps[i].at_ms - rollback->ms)
      kept_stores_[i] = host_->store().keep();
  }
}

void Drill::play(const Step& step) {
  history_.add({{"event", "step"}, {"step", step.source}});
  std::visit([this](const auto& action) { act(action); }, step.action);
}

void Drill::act(const ReplaceController& action) {
  for (auto* controller : select(action.node)) {
    controller->build = action.build;
    controllers_.end(*controller);
  }
}

void Drill::act(const KillController& action) {
  for (auto* controller : select(action.node)) controllers_.end(*controller);
}

void Drill::act(const FreezeController& action) {
  for (auto* controller : select(action.node)) controllers_.freeze(*controller, action.ms);
}

void Drill::act(const RollBackStore&) {
  users_.store_lost();
  host_->store().put_back(simulators::steady_ms(), *kept_stores_.at(next_step_ - 1));
}

void Drill::act(const LoseStore&) {
  users_.store_lost();
  host_->store().lose_all(simulators::steady_ms());
}

void Drill::act(const BeginStoreOutage&) {
  host_->store().set_outage(simulators::steady_ms(), true);
}

void Drill::act(const EndStoreOutage&) {
  host_->store().set_outage(simulators::steady_ms(), false);
}

std::vector<Controller*> Drill::select(const std::string& node) {
  const auto* leader = host_->store().value("leader");
  const auto leader_name = leader == nullptr ? std::string() : leader->value("node", "");
  const auto& name = node == "leader" ? leader_name : node;
  std::vector<Controller*> selected;
  for (auto& controller : controllers_.all())
    if (name == "all" || name == controller.name) selected.push_back(&controller);
  return selected;
}

Result Drill::result() const {
  Result r;
  r.users = users_.totals();
  r.tasks_started = checker_.started;
  const auto last_step = plan_.steps.empty() ? 0 : plan_.steps.back().at_ms;
  r.refused_ms = std::max<std::int64_t>(0, r.users.last_refused_at - last_step);
  if (const auto* level = host_->store().value("level")) r.level = *level;
  r.broken_rules = checker_.broken;
  r.violations = checker_.what;
  return r;
}

}  // namespace hitchfront::drills
