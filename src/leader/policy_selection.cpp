#include "leader/policy_selection.hpp"

#include <string>
#include <utility>
#include <vector>

#include "leader/replay_snapshot.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {

// Which policies the operators admit, in the order of all_policies().
std::vector<bool> admitted(const Operator& operator_settings) {
  std::vector<bool> admitted;
  for (const auto& policy : portfolio::all_policies()) {
    const auto name = portfolio::name(policy);
    const auto first = name.find('-'), last = name.rfind('-');
    admitted.push_back(operator_settings.admits(
        name.substr(0, first), name.substr(first + 1, last - first - 1), name.substr(last + 1)));
  }
  return admitted;
}

}  // namespace

PolicySelection::PolicySelection(LeaderContext& context, LeaderState& state,
                                 const ScaleOutQueue& requested, std::uint64_t seed,
                                 PolicyListener& listener)
    : context_(context),
      state_(state),
      requested_(requested),
      listener_(listener),
      selector_(seed + 1, kSmartPolicyShare, admitted(context.operator_settings)),
      policy_(selector_.chosen()) {
  params_.slowdown_bound_s = kSlowdownBoundS;
  params_.charge_unit_s = context.operator_settings.get("charge_unit", {});
  params_.ode_unit_s = kOdePackingUnitS;
  params_.odx_threshold = kOdxSlowdownThreshold;
  params_.horizon_s = kReplayHorizonS;
  params_.pass_s = kReplayPassPerThousandS;
}

void PolicySelection::begin(Ms now) {
  next_at_ = now + kTickIntervalMs;
}

// What the operators' expressions may refer to: queue_jobs, queue_tasks, machines.
Inputs PolicySelection::operator_inputs() const {
  double jobs = 0, tasks = 0;
  for (const auto& [id, job] : state_.jobs) {
    if (!job->active() || job->waiting == 0 || state_.failures.is_quarantined(job->index)) continue;
    ++jobs;
    tasks += job->waiting;
  }
  return {jobs, tasks, static_cast<double>(state_.machines.size())};
}

void PolicySelection::read_operator_settings(const Inputs& inputs) {
  const auto& settings = context_.operator_settings;
  params_.kappa = settings.get("kappa", inputs);
  params_.alpha = settings.get("alpha", inputs);
  params_.beta = settings.get("beta", inputs);
  params_.charge_unit_s = settings.get("charge_unit", inputs);
  selector_.set_lambda(settings.get("lambda", inputs));
}

void PolicySelection::tick(Ms now) {
  if (now < next_at_ || selector_.running() || !state_.loaded || state_.catalog.empty()) return;
  const auto& settings = context_.operator_settings;
  const auto inputs = operator_inputs();
  const auto period = static_cast<Ms>(settings.get("period", inputs) * 1000);
  next_at_ = now + period;
  read_operator_settings(inputs);
  auto snapshot = replay_snapshot(now, state_, requested_, context_.platform);
  if (snapshot.queue.empty()) return;  // nothing to choose by; the last choice stands
  const double budget_ms =
      static_cast<double>(period) * context_.platform.cores * settings.get("replay_share", inputs);
  jobs_ = snapshot.queue.size();
  machines_ = snapshot.machines.size();
  steps_ = 0;
  selector_.begin(std::move(snapshot), budget_ms * steps_per_ms_, params_);
}

std::uint64_t PolicySelection::replay(Ms now, std::uint64_t steps) {
  std::uint64_t spent = 0;
  while (selector_.running() && spent < steps) spent += selector_.step();
  steps_ += spent;
  context_.metrics().add(telemetry::Count::replay_steps, static_cast<double>(spent));
  if (selector_.running()) return spent;
  note_finished();
  if (selector_.replayed() > 0 && !(policy_ == selector_.chosen())) apply_choice(now);
  return spent;
}

void PolicySelection::note_finished() {
  context_.log(Event::selection_replayed, jobs_, machines_, selector_.replayed(), steps_,
               static_cast<std::uint64_t>(steps_per_ms_));
  context_.metrics().add(telemetry::Count::selections);
  context_.metrics().observe(telemetry::Histogram::replayed,
                             static_cast<double>(selector_.replayed()));
}

void PolicySelection::apply_choice(Ms now) {
  policy_ = selector_.chosen();
  context_.log(Event::policy_chosen, portfolio::name(policy_), selector_.chosen_utility(),
               selector_.replayed());
  state_.placement_needed = true;
  listener_.on_policy_chosen(now);
}

}  // namespace hitchfront::core
