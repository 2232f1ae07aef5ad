#include "leader/policy_selection.hpp"

#include <string>
#include <utility>
#include <vector>

#include "leader/replay_snapshot.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {

// For each policy, in the order of all_policies(), whether the operator settings admit it.
std::vector<bool> admitted_policies(const OperatorSettings& operator_settings) {
  std::vector<bool> admitted;
  for (const auto& policy : portfolio::all_policies()) {
    const auto name = portfolio::name(policy);
    const auto first_dash = name.find('-'), last_dash = name.rfind('-');
    admitted.push_back(operator_settings.admits(
        name.substr(0, first_dash), name.substr(first_dash + 1, last_dash - first_dash - 1),
        name.substr(last_dash + 1)));
  }
  return admitted;
}

}  // namespace

PolicySelection::PolicySelection(LeaderContext& context, LeaderState& state,
                                 const ScaleOutQueue& scale_out_requests, std::uint64_t seed,
                                 PolicyListener& listener)
    : context_(context),
      state_(state),
      scale_out_requests_(scale_out_requests),
      listener_(listener),
      selector_(seed + 1, kSmartPolicyShare, admitted_policies(context.operator_settings)),
      policy_(selector_.chosen()) {
  params_.slowdown_bound_s = kSlowdownBoundS;
  params_.charge_unit_s = context.operator_settings.get("charge_unit", {});
  params_.ode_unit_s = kOdePackingUnitS;
  params_.odx_threshold = kOdxSlowdownThreshold;
  params_.horizon_s = kReplayHorizonS;
  params_.pass_s = kReplayPassPerThousandS;
}

void PolicySelection::begin(Ms now) {
  next_selection_at_ = now + kTickIntervalMs;
}

// The values that expressions in the operator settings may use: queue_jobs, queue_tasks, machines.
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
  if (now < next_selection_at_ || selector_.running() || !state_.loaded || state_.catalog.empty())
    return;
  const auto& settings = context_.operator_settings;
  const auto inputs = operator_inputs();
  const auto period_ms = static_cast<Ms>(settings.get("period", inputs) * 1000);
  next_selection_at_ = now + period_ms;
  read_operator_settings(inputs);
  auto snapshot = replay_snapshot(now, state_, scale_out_requests_, context_.platform);
  if (snapshot.queue.empty()) return;  // nothing to replay: the policy stays
  const double budget_ms = static_cast<double>(period_ms) * context_.platform.cores *
                           settings.get("replay_share", inputs);
  replayed_jobs_ = snapshot.queue.size();
  replayed_machines_ = snapshot.machines.size();
  replay_steps_ = 0;
  selector_.begin(std::move(snapshot), budget_ms * steps_per_ms_, params_);
}

std::uint64_t PolicySelection::replay(Ms now, std::uint64_t max_steps) {
  std::uint64_t steps = 0;
  while (selector_.running() && steps < max_steps) steps += selector_.step();
  replay_steps_ += steps;
  context_.metrics().add(telemetry::Count::replay_steps, static_cast<double>(steps));
  if (selector_.running()) return steps;
  record_selection();
  if (selector_.replayed() > 0 && !(policy_ == selector_.chosen())) apply_chosen_policy(now);
  return steps;
}

void PolicySelection::record_selection() {
  context_.log(Event::selection_replayed, replayed_jobs_, replayed_machines_, selector_.replayed(),
               replay_steps_, static_cast<std::uint64_t>(steps_per_ms_));
  context_.metrics().add(telemetry::Count::selections);
  context_.metrics().observe(telemetry::Histogram::replayed_policies,
                             static_cast<double>(selector_.replayed()));
}

void PolicySelection::apply_chosen_policy(Ms now) {
  policy_ = selector_.chosen();
  context_.log(Event::policy_chosen, portfolio::name(policy_), selector_.chosen_utility(),
               selector_.replayed());
  state_.placement_needed = true;
  listener_.on_policy_chosen(now);
}

}  // namespace hitchfront::core
