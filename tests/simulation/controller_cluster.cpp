#include "simulation/controller_cluster.hpp"

#include <algorithm>

#include "settings/platform.hpp"

namespace hitchfront::testing {
namespace {
using nlohmann::json;

constexpr std::int64_t kWallClockMs = 1'700'000'000'000;  // at the start of a run
constexpr std::int64_t kTickMs = 100;                     // between two ticks of a controller
constexpr std::int64_t kReplayBudgetUs = 20'000;
constexpr double kMaxClockDrift = 0.0005;
constexpr std::int64_t kMinClockOffsetMs = 1000, kMaxClockOffsetMs = 10'000'000;

std::string destination(const core::HttpCall& call) {
  switch (call.target) {
    case core::Target::state:
      return "state";
    case core::Target::cloud:
      return "cloud";
    case core::Target::worker:
      break;
  }
  return call.addr.substr(0, call.addr.find(':'));
}

// Calls `done` with the first answer alone.
ControllerCluster::OnAnswer once(ControllerCluster::OnAnswer done) {
  return [over = std::make_shared<bool>(false), done = std::move(done)](int status,
                                                                        const std::string& body) {
    if (!std::exchange(*over, true)) done(status, body);
  };
}

}  // namespace

ControllerCluster::ControllerCluster(SimulationContext& context, SimulatedNetwork& network)
    : context_(context), network_(network) {
  for (int i = 0; i < context_.scenario.nodes; ++i) {
    auto controller = std::make_unique<SimulatedController>();
    controller->index = i;
    controller->name = "node-" + std::to_string(i);
    controller->clock_rate = 1 + context_.random.real(0, kMaxClockDrift);
    reset_steady_clock(*controller);
    controllers_.push_back(std::move(controller));
  }
}

void ControllerCluster::reset_steady_clock(SimulatedController& controller) {
  controller.clock_offset = context_.random.between(kMinClockOffsetMs, kMaxClockOffsetMs);
}

std::uint64_t ControllerCluster::process_seed(const SimulatedController& controller) {
  const auto drawn = context_.random.bits();
  return context_.scenario.repeats_process_seeds ? static_cast<std::uint64_t>(controller.index)
                                                 : drawn;
}

SimulatedController* ControllerCluster::find(const std::string& name) {
  for (auto& controller : controllers_)
    if (controller->name == name) return controller.get();
  return nullptr;
}

SimulatedController& ControllerCluster::draw_any() {
  return *controllers_[context_.random.index(controllers_.size())];
}

SimulatedController* ControllerCluster::leader() {
  for (auto& controller : controllers_)
    if (controller->core && controller->core->leading()) return controller.get();
  return nullptr;
}

std::string ControllerCluster::zone_of(const std::string& name) const {
  for (const auto& controller : controllers_)
    if (controller->name == name) return zone_of_node(context_.scenario, controller->index);
  return "";
}

std::vector<SimulatedController*> ControllerCluster::select(const ControllerSelector& who) {
  using Kind = ControllerSelector::Kind;
  std::vector<SimulatedController*> selected;
  for (auto& controller : controllers_) {
    const bool runs = controller->core != nullptr;
    const bool leads = runs && controller->core->leading();
    const bool matches = who.kind == Kind::all || (who.kind == Kind::leader && leads) ||
                         (who.kind == Kind::first_follower && runs && !leads) ||
                         (who.kind == Kind::named && who.name == controller->name);
    if (!matches) continue;
    selected.push_back(controller.get());
    if (who.kind == Kind::first_follower) break;
  }
  return selected;
}

std::int64_t ControllerCluster::steady_clock(const SimulatedController& controller) const {
  return controller.clock_offset +
         static_cast<std::int64_t>(static_cast<double>(context_.now()) * controller.clock_rate);
}

std::int64_t ControllerCluster::wall_clock() const {
  return kWallClockMs + context_.now();
}

void ControllerCluster::start(SimulatedController& controller) {
  const auto& scenario = context_.scenario;
  auto platform = context_.platform;
  platform.node = controller.name;
  platform.zone = zone_of_node(scenario, controller.index);
  for (const auto& other : controllers_)
    if (other->name != controller.name)
      platform.peers.push_back({other->name, zone_of_node(scenario, other->index), other->name});
  ++controller.process;
  settings::OperatorSettings expressions;
  if (scenario.without_allocation_log.contains(controller.index) &&
      (scenario.allocation_log_from == 0 || context_.now() < scenario.allocation_log_from))
    expressions = settings::parse_operator_settings("roster = false").settings;
  if (controller.level_limit < Scenario::kNoLevelLimit)
    expressions =
        settings::parse_operator_settings("level_most = " + std::to_string(controller.level_limit))
            .settings;
  controller.core = std::make_unique<core::Controller>(platform, process_seed(controller),
                                                       expressions, controller.support);
  controller.core->start(steady_clock(controller), wall_clock());
  flush(controller);
}

void ControllerCluster::crash(SimulatedController& controller) {
  controller.core.reset();
  controller.requests.clear();
  ++controller.process;
  if (context_.scenario.restarts_steady_clocks) reset_steady_clock(controller);
  controller.restart_at = context_.now() + context_.scenario.restart_ms;
  controller.frozen_until = 0;
}

void ControllerCluster::tick() {
  const auto now = context_.now();
  for (auto& controller : controllers_) {
    if (!controller->core && now >= controller->restart_at) start(*controller);
    if (!controller->core || now < controller->next_tick || now < controller->frozen_until)
      continue;
    controller->next_tick = now + kTickMs;
    controller->core->tick(steady_clock(*controller), wall_clock());
    flush(*controller);
  }
}

void ControllerCluster::when_awake(SimulatedController& controller, Action action) {
  if (context_.now() >= controller.frozen_until) return action();
  context_.events.at(controller.frozen_until, std::move(action));
}

// ---- requests to controllers

void ControllerCluster::request(SimulatedController& to, const std::string& from,
                                core::Method method, const std::string& path,
                                const std::string& body, OnAnswer done, std::int64_t timeout_ms) {
  const auto finish = once(std::move(done));
  const auto give_up = [finish] { finish(0, ""); };
  context_.events.after(timeout_ms, give_up);
  network_.send(
      from, to.name,
      [this, &to, from, method, path, body, finish, timeout_ms] {
        when_awake(to, [this, &to, from, method, path, body, finish, timeout_ms] {
          accept(to, from, method, path, body, finish, timeout_ms);
        });
      },
      give_up);
}

void ControllerCluster::accept(SimulatedController& to, const std::string& from,
                               core::Method method, const std::string& path,
                               const std::string& body, const OnAnswer& finish,
                               std::int64_t timeout_ms) {
  if (!to.core) return finish(0, "");
  const auto id = to.next_request++;
  context_.events.after(timeout_ms, [this, &to, id, process = to.process] {
    if (to.process == process && context_.now() >= to.frozen_until && to.requests.contains(id))
      ++context_.observed.unanswered;
  });
  to.requests[id] = [this, &to, from, finish](const core::HttpReply& answer) {
    ++to.answered[answer.status];
    network_.send(
        to.name, from, [finish, answer] { finish(answer.status, answer.body); },
        [finish] { finish(0, ""); });
  };
  to.core->request(steady_clock(to), wall_clock(), id, method, path, body);
  flush(to);
}

core::HttpReply ControllerCluster::ask_leader(core::Method method, const std::string& path,
                                              const std::string& body) {
  auto* controller = leader();
  if (controller == nullptr) return {};
  const auto id = controller->next_request++;
  controller->core->request(steady_clock(*controller), context_.now(), id, method, path, body);
  for (const auto& answer : controller->core->take().replies)
    if (answer.request == id) return answer;
  return {};
}

// ---- what controllers want done

void ControllerCluster::flush(SimulatedController& controller) {
  while (controller.core) {
    // Replay as the driver would, only without a clock.
    if (controller.core->wants_replay())
      controller.core->replay(steady_clock(controller), kReplayBudgetUs);
    auto effects = controller.core->take();
    if (effects.empty()) return;
    if (context_.scenario.mutant)
      context_.scenario.mutant(context_.now(), controller.index, effects);
    if (hooks.effects) hooks.effects(effects);
    note_logs(controller, effects);
    for (const auto& answer : effects.replies) reply(controller, answer);
    for (const auto& message : effects.peer_messages) send_to_peer(controller, message);
    for (const auto& c : effects.calls) call(controller, c);
  }
}

void ControllerCluster::note_logs(SimulatedController& controller, const core::Effects& effects) {
  auto& checker = context_.observed.checker;
  for (const auto& line : effects.logs) {
    const auto text = telemetry::text(telemetry::entry(line));
    if (!telemetry::matches_spec(line))
      checker.violation("log", text + " is not as its table says");
    const auto logged = std::to_string(context_.now()) + " " + controller.name + " " + text;
    context_.observed.log.push_back(logged);
    if (line.event != telemetry::Event::leader_elected) continue;
    // A store that has lost something may have forgotten a term that nobody knows any more.
    if (!context_.store_has_lost && !elected_.insert(logged.substr(logged.find("term="))).second)
      checker.violation("numbers", "a term is used twice: " + logged);
    if (hooks.leader_elected) hooks.leader_elected();
  }
}

void ControllerCluster::reply(SimulatedController& controller, const core::HttpReply& answer) {
  const auto it = controller.requests.find(answer.request);
  if (it == controller.requests.end()) return;
  const auto done = std::move(it->second);
  controller.requests.erase(it);
  done(answer);
}

void ControllerCluster::send_to_peer(SimulatedController& controller,
                                     const core::OutgoingPeerMessage& message) {
  auto* to = find(message.node);
  if (to == nullptr) return;
  auto deliver = [this, to, from = controller.name, bytes = message.bytes] {
    when_awake(*to, [this, to, from, bytes] {
      if (!to->core) return;
      to->core->peer_message(steady_clock(*to), from, bytes);
      flush(*to);
    });
  };
  network_.duplicate(context_.scenario.peer_message_repeats, deliver);
  if (const auto delay_ms = peer_message_delay(message.bytes))
    return context_.events.after(*delay_ms, std::move(deliver));
  network_.send(controller.name, message.node, std::move(deliver), nullptr);
}

std::optional<std::int64_t> ControllerCluster::peer_message_delay(const std::string& bytes) const {
  if (context_.scenario.late_peer_messages.empty()) return std::nullopt;
  const auto message = wire::decode_peer(bytes);
  for (const auto& late : context_.scenario.late_peer_messages)
    if (message && message->kind == late.kind && context_.now() >= late.from &&
        context_.now() < late.to)
      return late.delay_ms;
  return std::nullopt;
}

void ControllerCluster::call(SimulatedController& controller, const core::HttpCall& call) {
  const auto finish = once([this, &controller, process = controller.process, id = call.id](
                               int status, const std::string& body) {
    when_awake(controller, [this, &controller, process, id, status, body] {
      if (controller.process != process || !controller.core) return;
      controller.core->response(steady_clock(controller), id, status, body);
      flush(controller);
    });
  });
  const auto give_up = [finish] { finish(0, ""); };
  context_.events.after(call.timeout_ms, give_up);
  check_rental_name(controller, call);
  const auto to = destination(call);
  const auto back = [this, name = controller.name, to, finish, give_up,
                     late_read = find_late_read(call)](int status, const std::string& body) {
    const auto answer = [finish, status, body] { finish(status, body); };
    const auto& scenario = context_.scenario;
    const auto now = context_.now();
    if (late_read != nullptr && late_read->delay_ms == Scenario::LateRead::kLost) return;
    if (late_read != nullptr) return context_.events.after(late_read->delay_ms, answer);
    if (to == "state" && now >= scenario.store_delay_from && now < scenario.store_delay_to)
      return context_.events.after(context_.random.between(0, scenario.store_delay_ms), answer);
    network_.send(to, name, answer, give_up);
  };
  network_.send(
      controller.name, to, [this, &controller, call, back] { hooks.serve(controller, call, back); },
      give_up);
}

const Scenario::LateRead* ControllerCluster::find_late_read(const core::HttpCall& call) const {
  if (call.target == core::Target::worker || call.method != core::Method::get) return nullptr;
  const auto& late = context_.scenario.late_reads;
  const auto it = std::find_if(late.begin(), late.end(), [&](const auto& read) {
    return context_.now() >= read.from && context_.now() < read.to &&
           call.path.starts_with(read.path);
  });
  return it == late.end() ? nullptr : &*it;
}

// Each process names its rentals anew.
void ControllerCluster::check_rental_name(const SimulatedController& controller,
                                          const core::HttpCall& call) {
  if (call.target != core::Target::cloud || call.path != "/machines") return;
  const auto request = json::parse(call.body, nullptr, false);
  const auto process = controller.name + " " + std::to_string(controller.process);
  const auto& user = rental_users_.emplace(request.value("Hire", ""), process).first->second;
  if (user != process)
    context_.observed.checker.violation(
        "numbers", "a rental's name is used by " + user + " and by " + process);
}

}  // namespace hitchfront::testing
