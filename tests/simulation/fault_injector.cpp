#include "simulation/fault_injector.hpp"

#include <algorithm>
#include <stdexcept>

namespace hitchfront::testing {
namespace {

constexpr std::int64_t kNoticeMs = 8000;        // from a spot machine's notice until it is gone
constexpr double kBootFailures = 0.5;           // share of machines that never come up
constexpr std::size_t kMaxHangingMachines = 8;  // of the jobs that are cancelled at once
constexpr std::int64_t kLateWriteLastsMs = 12'000;

}  // namespace

void FaultInjector::schedule() {
  schedule_limits();
  schedule_versions();
  for (const auto& event : context_.scenario.events) {
    const auto parsed = parse_fault(event.what);
    if (const auto* rollback = std::get_if<fault::StoreRollback>(&parsed))
      schedule_rollback(event.when, rollback->ms);
    else
      context_.events.at(event.when, [this, parsed] { apply(parsed); });
  }
}

void FaultInjector::schedule_limits() {
  const auto& scenario = context_.scenario;
  if (scenario.limits_fall_at <= 0) return;
  context_.events.at(scenario.limits_fall_at, [this] {
    const auto next = test_next_limits(context_.platform.store);
    auto& store = platform_.store();
    store.txn_ops = next.transaction_changes;
    store.value_bytes = next.value_bytes();
    store.too_large = 0;
  });
}

void FaultInjector::schedule_versions() {
  for (const auto& version : context_.scenario.versions)
    context_.events.at(version.when, [this, version] {
      auto& controller = *controllers_.all()[static_cast<std::size_t>(version.node)];
      controller.support = version.support;
      controller.level_limit = version.most;
      if (context_.now() > 0) controllers_.crash(controller);
    });
}

void FaultInjector::schedule_rollback(std::int64_t when, std::int64_t ms) {
  context_.events.at(std::max<std::int64_t>(0, when - ms),
                     [this, when] { kept_stores_[when] = platform_.store().keep(); });
  context_.events.at(when, [this, when] {
    context_.store_has_lost = true;
    platform_.store().put_back(context_.now(), *kept_stores_.at(when));
  });
}

void FaultInjector::cancellation_confirmed(const std::string& controller) {
  const std::string placeholder = "canceller";
  const auto& faults = context_.scenario.after_cancel;
  for (std::size_t i = 0; i < faults.size(); ++i) {
    if (context_.now() < faults[i].from || !begun_after_cancel_.insert(i).second) continue;
    auto what = faults[i].what;
    if (const auto at = what.find(placeholder); at != std::string::npos)
      what.replace(at, placeholder.size(), controller);
    context_.events.after(faults[i].delay, [this, parsed = parse_fault(what)] { apply(parsed); });
  }
}

std::int64_t FaultInjector::quiet_at() const {
  const auto& s = context_.scenario;
  std::int64_t quiet = std::max(s.run_ms, s.poll_storm_to);
  const auto until = [&](std::int64_t when) { quiet = std::max(quiet, when); };
  for (const auto* cuts : {&s.cuts, &s.zone_cuts, &s.unreachable, &s.outbound_cuts})
    for (const auto& cut : *cuts) until(cut.to);
  for (const auto& event : s.events)
    until(event.when + lasts_ms(parse_fault(event.what), s.restart_ms));
  for (const auto& version : s.versions) until(version.when + s.restart_ms);
  for (const auto& cut : s.cuts_after_responses) until(cut.to + cut.ms);
  for (const auto& read : s.late_reads) until(read.to + std::max<std::int64_t>(0, read.delay_ms));
  until(s.late_writes_to + kLateWriteLastsMs);
  return quiet;
}

void FaultInjector::apply(const Fault& fault) {
  std::visit([this](const auto& f) { apply(f); }, fault);
}

// ---- controllers

void FaultInjector::apply(const fault::CrashControllers& f) {
  for (auto* controller : controllers_.select(f.who))
    if (controller->core) controllers_.crash(*controller);
}

void FaultInjector::apply(const fault::FreezeControllers& f) {
  for (auto* controller : controllers_.select(f.who))
    if (controller->core) controller->frozen_until = context_.now() + f.ms;
}

void FaultInjector::apply(const fault::RefuseControllers& f) {
  for (auto* controller : controllers_.select(f.who))
    controller->refused_until = context_.now() + f.ms;
}

void FaultInjector::apply(const fault::IsolateLeader& f) {
  const auto now = context_.now();
  for (const auto* leader : controllers_.select({ControllerSelector::Kind::leader, ""}))
    isolate_controller(context_.scenario, leader->index, now, now + f.ms, true);
}

// ---- machines

void FaultInjector::apply(const fault::HangMachines& f) {
  for (int n = f.count; n > 0; --n)
    if (const auto* machine = platform_.draw_machine()) platform_.hang(machine->place().name, f.ms);
}

void FaultInjector::apply(const fault::FlapMachine& f) {
  if (const auto* machine = platform_.draw_machine()) platform_.hang(machine->place().name, f.ms);
}

void FaultInjector::apply(const fault::CancelRunningJobs& f) {
  const auto machines = users_.cancel_running(f.jobs, f.hang_ms > 0 ? kMaxHangingMachines : 0);
  for (const auto& name : machines) platform_.hang(name, f.hang_ms);
}

void FaultInjector::apply(const fault::TakeMachine&) {
  const auto* machine = platform_.draw_machine();
  if (machine != nullptr && machine->place().spot)
    platform_.cloud().take(context_.now(), std::string(machine->place().name));
}

void FaultInjector::apply(const fault::NoticeMachine&) {
  auto* machine = platform_.draw_machine();
  if (machine == nullptr || !machine->place().spot) return;
  machine->taken_at = context_.now() + kNoticeMs;
  context_.events.after(kNoticeMs, [this, name = machine->place().name] {
    platform_.cloud().take(context_.now(), name);
  });
}

void FaultInjector::apply(const fault::BreakMachine&) {
  if (const auto* machine = platform_.draw_machine())
    platform_.break_machine(machine->place().name);
}

// ---- the state service and the cloud

void FaultInjector::apply(const fault::StoreOutageBegins&) {
  platform_.store().set_outage(context_.now(), true);
}

void FaultInjector::apply(const fault::StoreOutageEnds&) {
  platform_.store().set_outage(context_.now(), false);
}

// Its moment has to be known before: the store is kept from then.
void FaultInjector::apply(const fault::StoreRollback&) {
  throw std::logic_error("a rollback is scheduled, not applied");
}

void FaultInjector::apply(const fault::StoreLosesAll&) {
  context_.store_has_lost = true;
  platform_.store().lose_all(context_.now());
}

void FaultInjector::apply(const fault::BootTimes& f) {
  platform_.cloud().boot_factor = f.factor;
}

void FaultInjector::apply(const fault::BootFailuresBegin&) {
  platform_.cloud().never_up = kBootFailures;
  platform_.cloud().boot_factor = 1;
}

void FaultInjector::apply(const fault::BootsRecover&) {
  platform_.cloud().never_up = SimulatedPlatform::kNeverUp;
  platform_.cloud().boot_factor = 1;
}

void FaultInjector::apply(const fault::CloudOutageBegins&) {
  platform_.cloud().outage = true;
}

void FaultInjector::apply(const fault::CloudOutageEnds&) {
  platform_.cloud().outage = false;
}

}  // namespace hitchfront::testing
