#include "simulation/simulated_platform.hpp"

#include <algorithm>

#include "wire/job.hpp"

namespace hitchfront::testing {
namespace {

constexpr std::int64_t kHeartbeatTimeoutMs = 4000;
constexpr std::int64_t kHeldHeartbeatsMs = 1500;  // within which they reach a new leader
constexpr std::int64_t kLateWriteMinMs = 2000, kLateWriteMaxMs = 12'000;
constexpr std::int64_t kHungRetryMs = 500;  // a hanging machine takes commands up when it resumes
constexpr std::int64_t kListLagMs = 8000;
constexpr std::uint64_t kCloudSeed = 5;                  // added to the scenario's
constexpr int kSpotMachines = 3, kOrdinaryMachines = 2;  // of each type and zone, times the scale
constexpr double kMinTaskS = 2, kMaxTaskS = 14;

const char* method_name(core::Method method) {
  switch (method) {
    case core::Method::get:
      return "GET";
    case core::Method::post:
      return "POST";
    case core::Method::del:
      break;
  }
  return "DELETE";
}

std::size_t occurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

void ignore(const simulators::Response&) {}

}  // namespace

SimulatedPlatform::SimulatedPlatform(SimulationContext& context, SimulatedNetwork& network,
                                     ControllerCluster& controllers)
    : context_(context), network_(network), controllers_(controllers) {
  for (const auto& controller : controllers_.all()) controller_names_.push_back(controller->name);
  set_up_store();
  set_up_cloud();
}

void SimulatedPlatform::set_up_store() {
  const auto& limits = context_.platform.store;
  store_.txn_ops = limits.transaction_changes;
  store_.value_bytes = limits.value_bytes();
}

void SimulatedPlatform::set_up_cloud() {
  const auto& scenario = context_.scenario;
  const std::vector<wire::MachineType> types = {
      {"small", 4, 0, 16, 50, 1, 0.2, 0.06, 8, scenario.zones},
      {"large", 8, 0, 32, 50, 1, 0.5, 0.2, 12, scenario.zones}};
  cloud_ = std::make_unique<simulators::Cloud>(types, scenario.seed + kCloudSeed, kListLagMs);
  cloud_->never_up = kNeverUp;
  for (const auto& zone : scenario.zones)
    for (const auto& type : types) {
      cloud_->capacity[type.name + "/" + zone + "/spot"] = kSpotMachines * scenario.scale;
      cloud_->capacity[type.name + "/" + zone + "/ordinary"] = kOrdinaryMachines * scenario.scale;
    }
  cloud_->on_up = [this](const auto& machine) { add_machine(machine); };
  cloud_->on_gone = [this](const std::string& name) {
    const auto it = workers_.find(name);
    if (it == workers_.end()) return;
    it->second->vanish();
    workers_.erase(it);
  };
}

// ---- machines

void SimulatedPlatform::add_machine(const simulators::Cloud::Machine& machine) {
  const auto& listed = machine.listed;
  const auto& type = *std::find_if(cloud_->types().begin(), cloud_->types().end(),
                                   [&](const auto& t) { return t.name == listed.type; });
  const simulators::Worker::Place place{listed.name, listed.addr,    listed.type,
                                        listed.zone, listed.spot,    type.cpus,
                                        type.gpus,   type.memory_gb, type.fetch_gb_per_s};
  const auto& scenario = context_.scenario;
  workers_[place.name] = std::make_unique<simulators::Worker>(
      place, controller_names_, context_.now(), scenario.heartbeat_ms,
      static_cast<std::int64_t>(scenario.lease_s * 1000), worker_hooks(place),
      context_.random.bits());
}

simulators::Worker::Hooks SimulatedPlatform::worker_hooks(const simulators::Worker::Place& place) {
  auto& checker = context_.observed.checker;
  simulators::Worker::Hooks worker;
  worker.job = [&checker](const std::string& id) -> const wire::Job* {
    const auto it = checker.jobs.find(id);
    return it == checker.jobs.end() || !it->second.submitted ? nullptr : &it->second.spec;
  };
  worker.run_s = [this](const std::string& id, std::uint32_t task) { return run_s(id, task); };
  worker.completed = [&checker](const std::string& id, std::uint32_t task) {
    return checker.jobs[id].done.contains(task);
  };
  worker.fails = [this, &checker, place](const std::string& id, std::uint32_t) {
    auto& job = checker.jobs[id];
    if (job.always_fails) ++job.failures;
    return job.always_fails || faulty_.contains(place.name);
  };
  worker.started = [this, place](const std::string& id, std::uint32_t task) {
    task_started(place, id, task);
  };
  worker.left = [&checker, place](const std::string& id, std::uint32_t task) {
    checker.leave(place, id, task);
  };
  worker.lease_expires_at = [this] { ++context_.observed.leases_lost; };
  worker.done = [this, &checker](const std::string& id, std::uint32_t task) {
    checker.done(context_.now(), id, task);
    if (hooks.task_done) hooks.task_done(id);
  };
  return worker;
}

void SimulatedPlatform::task_started(const simulators::Worker::Place& place, const std::string& job,
                                     std::uint32_t task) {
  const auto now = context_.now();
  ++context_.observed.launches_by_second[now / 1000];
  context_.observed.checker.start(now, place, job, task);
  const auto attempt = workers_.at(place.name)->tasks().at({job, task}).attempt;
  check_first_start(job, task, attempt);
  if (hooks.started) hooks.started(job, task, attempt);
}

// A store that has lost its terms may have a term, and so its attempts, used twice.
void SimulatedPlatform::check_first_start(const std::string& job, std::uint32_t task,
                                          std::uint64_t attempt) {
  if (context_.observed.started_attempts.insert(attempt).second || context_.store_has_lost) return;
  context_.observed.checker.violation(
      "started_again", job + "/" + std::to_string(task) + " attempt " + std::to_string(attempt));
}

// The same for each attempt of a task.
double SimulatedPlatform::run_s(const std::string& job, std::uint32_t task) const {
  const auto& scenario = context_.scenario;
  if (scenario.best_effort_run_s > 0 && context_.observed.checker.jobs.at(job).spec.team == "guest")
    return scenario.best_effort_run_s;
  SeededRandom random(std::hash<std::string>{}(job) + task + scenario.seed);
  return scenario.min_run_s + scenario.task_stagger_s * task + random.real(kMinTaskS, kMaxTaskS);
}

std::string SimulatedPlatform::zone_of(const std::string& machine) const {
  const auto it = workers_.find(machine);
  return it == workers_.end() ? "" : it->second->place().zone;
}

void SimulatedPlatform::hang(const std::string& machine, std::int64_t ms) {
  workers_.at(machine)->hung = true;
  context_.events.after(ms, [this, machine] {
    if (const auto it = workers_.find(machine); it != workers_.end()) it->second->hung = false;
  });
}

simulators::Worker* SimulatedPlatform::draw_machine() {
  if (workers_.empty()) return nullptr;
  const auto index = context_.random.index(workers_.size());
  return std::next(workers_.begin(), static_cast<std::ptrdiff_t>(index))->second.get();
}

void SimulatedPlatform::tick() {
  store_.tick(context_.now());
  cloud_->tick(context_.now());
}

void SimulatedPlatform::send_heartbeats() {
  auto& most = context_.observed.machines_most;
  most = std::max(most, workers_.size());
  for (auto& [name, worker] : workers_) {
    const auto heartbeat = worker->poll(context_.now());
    // What cannot be sent the worker gives up by itself.
    if (heartbeat && network_.can_send(name)) send_heartbeat(name, *heartbeat);
  }
}

void SimulatedPlatform::send_heartbeat(const std::string& machine,
                                       const simulators::Worker::Outgoing& heartbeat) {
  controllers_.request(
      *controllers_.find(heartbeat.node), machine, core::Method::post, "/agent/beat",
      heartbeat.body,
      [this, machine, id = heartbeat.id](int status, const std::string& body) {
        const auto it = workers_.find(machine);
        if (it == workers_.end()) return;
        it->second->answered(context_.now(), id, status, body);
        if (status == 200) cut_after_response(*it->second);
      },
      kHeartbeatTimeoutMs);
  const auto& scenario = context_.scenario;
  if (scenario.hold_duplicates_for_next_leader) {
    if (context_.random.chance(scenario.duplicates))
      held_heartbeats_.emplace_back(machine, heartbeat.body);
    return;
  }
  // The copy comes to any of them, and may come when the machine is long gone.
  network_.duplicate(scenario.duplicates, [this, machine, body = heartbeat.body] {
    controllers_.request(
        controllers_.draw_any(), machine, core::Method::post, "/agent/beat", body,
        [](int, const std::string&) {}, kHeartbeatTimeoutMs);
  });
}

void SimulatedPlatform::cut_after_response(const simulators::Worker& worker) {
  const auto& name = worker.place().name;
  auto& scenario = context_.scenario;
  for (std::size_t i = 0; i < scenario.cuts_after_responses.size(); ++i) {
    const auto& cut = scenario.cuts_after_responses[i];
    if (context_.now() < cut.from || context_.now() >= cut.to || worker.tasks().empty()) continue;
    if (++responses_[{i, name}] != cut.responses || !context_.random.chance(cut.share)) continue;
    scenario.cuts.push_back({context_.now(), context_.now() + cut.ms, name, "*", false});
    ++context_.observed.machines_cut;
  }
}

void SimulatedPlatform::deliver_held_heartbeats() {
  for (const auto& held : std::exchange(held_heartbeats_, {}))
    for (const auto& controller : controllers_.all())
      context_.events.after(context_.random.between(0, kHeldHeartbeatsMs),
                            [this, machine = held.first, body = held.second, &to = *controller] {
                              controllers_.request(
                                  to, machine, core::Method::post, "/agent/beat", body,
                                  [](int, const std::string&) {}, kHeartbeatTimeoutMs);
                            });
}

// ---- calls of controllers

void SimulatedPlatform::serve(const SimulatedController& from, const core::HttpCall& call,
                              const OnAnswer& back) {
  switch (call.target) {
    case core::Target::state:
      return serve_store(from, call, back);
    case core::Target::cloud:
      return serve_cloud(call, back);
    case core::Target::worker:
      return serve_machine(call, back);
  }
}

void SimulatedPlatform::serve_store(const SimulatedController& from, const core::HttpCall& call,
                                    const OnAnswer& back) {
  if (context_.now() < from.refused_until) return back(503, R"({"error":"trouble"})");
  if (is_late_write(call)) return carry_out_without_answer(call);
  if (call.method != core::Method::get)
    network_.duplicate(context_.scenario.request_repeats, [this, call] {
      store_.handle(context_.now(), method_name(call.method), call.path, call.body, ignore);
    });
  // An open watch waits while its controller is refused, as in an outage.
  const auto served = std::make_shared<std::function<void(const simulators::Response&)>>();
  *served = [this, &from, back,
             weak = std::weak_ptr(served)](const simulators::Response& response) {
    if (context_.now() >= from.refused_until) return back(response.status, response.body);
    context_.events.at(from.refused_until, [again = weak.lock(), response] { (*again)(response); });
  };
  store_.handle(context_.now(), method_name(call.method), call.path, call.body,
                [served](const simulators::Response& response) { (*served)(response); });
}

bool SimulatedPlatform::is_late_write(const core::HttpCall& call) {
  const auto& s = context_.scenario;
  if (call.path != "/txn") return false;
  if (context_.now() < s.late_writes_from || context_.now() >= s.late_writes_to) return false;
  if (!s.late_write_prefix.empty() &&
      call.body.find("\"Set\":\"" + s.late_write_prefix) == std::string::npos)
    return false;
  const bool first = s.first_write_is_late && context_.observed.late_writes == 0;
  return context_.random.chance(s.late_writes) || first;
}

void SimulatedPlatform::carry_out_without_answer(const core::HttpCall& call) {
  ++context_.observed.late_writes;
  const auto delay = context_.scenario.lose_only_answers
                         ? 0
                         : context_.random.between(kLateWriteMinMs, kLateWriteMaxMs);
  context_.events.after(delay, [this, call] {
    store_.handle(context_.now(), method_name(call.method), call.path, call.body, ignore);
  });
}

void SimulatedPlatform::serve_cloud(const core::HttpCall& call, const OnAnswer& back) {
  if (call.method != core::Method::get)
    network_.duplicate(context_.scenario.request_repeats, [this, call] {
      cloud_->handle(context_.now(), method_name(call.method), call.path, call.body);
    });
  if (call.path == "/machines/release")
    for (const auto& [name, worker] : workers_)
      if (!worker->tasks().empty() && call.body.find('"' + name + '"') != std::string::npos)
        ++context_.observed.busy_returned;
  const auto response =
      cloud_->handle(context_.now(), method_name(call.method), call.path, call.body);
  back(response.status, response.body);
}

void SimulatedPlatform::serve_machine(const core::HttpCall& call, const OnAnswer& back) {
  const auto machine = call.addr.substr(0, call.addr.find(':'));
  ++context_.observed.direct_commands;
  context_.observed.direct_launches += occurrences(call.body, "\"launch\"");
  const double late = context_.scenario.late_commands;
  if (late > 0 && context_.random.chance(late)) {
    network_.delay_like_duplicate([this, machine, call] {
      if (const auto it = workers_.find(machine); it != workers_.end() && !it->second->hung)
        it->second->direct(context_.now(), call.path, call.body);
    });
    return;
  }
  deliver_command(machine, call, [this, machine, call, back](const simulators::Response& response) {
    if (response.status == 200 && call.path == "/commands")
      network_.duplicate(context_.scenario.command_repeats,
                         [this, machine, call] { repeat_command(machine, call); });
    back(response.status, response.body);
  });
}

void SimulatedPlatform::deliver_command(
    const std::string& machine, const core::HttpCall& call,
    const std::function<void(const simulators::Response&)>& executed) {
  const auto it = workers_.find(machine);
  if (it == workers_.end()) return;
  if (!it->second->hung) return executed(it->second->direct(context_.now(), call.path, call.body));
  context_.events.after(
      kHungRetryMs, [this, machine, call, executed] { deliver_command(machine, call, executed); });
}

void SimulatedPlatform::repeat_command(const std::string& machine, const core::HttpCall& call) {
  deliver_command(machine, call, [this, call](const simulators::Response&) {
    context_.observed.repeated_launches += occurrences(call.body, "\"launch\"");
  });
}

}  // namespace hitchfront::testing
