#include "net/runtime.hpp"

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <random>
#include <utility>

#include "core/controller.hpp"
#include "net/client.hpp"
#include "net/clocks.hpp"
#include "net/handles.hpp"
#include "net/log.hpp"
#include "net/open_files.hpp"
#include "net/peers.hpp"
#include "net/processor_share.hpp"
#include "net/replay_pacing.hpp"
#include "net/server.hpp"
#include "net/worker_clients.hpp"
#include "settings/constants.hpp"

namespace hitchfront::net {
namespace {
using namespace settings;

// Two priorities, looked at anew after a few callbacks. Without them a turn of the loop dealt with
// every worker that had something to say, seconds of it on a small share of a processor, before the
// lease on the lead was renewed: on simulated calm days of a fleet of 1,271 machines the lead was
// lost that way.
EventBaseHandle new_base() {
  const std::unique_ptr<event_config, FreeWith<event_config_free>> config(event_config_new());
  const timeval most{0, kMaxDispatchIntervalMs * 1000};
  event_config_set_max_dispatch_interval(config.get(), &most, kMaxDispatchCallbacks,
                                         kNormalEventPriority);
  EventBaseHandle base(event_base_new_with_config(config.get()));
  event_base_priority_init(base.get(), kEventPriorities);
  return base;
}

// Drives one controller: carries its effects out and feeds clocks, responses, requests, frames and
// slices of replay in. All of it on one thread.
class Runtime {
 public:
  Runtime(const Platform& p, const OperatorSettings& op)
      : platform_(p),
        base_(new_base()),
        processor_(p.cores),
        replay_pacing_(op.get("replay_share", {})),
        core_(p, std::random_device{}(), op),
        state_(base_.get(), p.state_addr, kMaxStoreConnections, on_response(),
               kUrgentEventPriority),
        cloud_(base_.get(), p.cloud_addr, kMaxCloudConnections, on_response()),
        workers_(base_.get(),
                 static_cast<std::size_t>(p.max_connections * kMaxWorkerCallConnectionShare),
                 on_response()),
        peers_(
            base_.get(), p,
            [this](const std::string& node, std::string bytes) { on_frame(node, bytes); },
            [this](const std::string& path) { return core_.page(steady_ms(), path); }),
        server_(
            base_.get(), p.client_listen, p.max_connections,
            [this](std::uint64_t id, core::Method method, const char* path, std::string body) {
              on_request(id, method, path, body);
            },
            core::kHeartbeatPath),
        tick_(new_event(EV_PERSIST, &Runtime::tick)),
        replay_(new_event(0, &Runtime::replay)) {
    event_priority_set(tick_.get(), kUrgentEventPriority);
    set_step_rate();
  }

  // Serves until the process is killed. Not 0: the loop has failed.
  int run() {
    const timeval every{0, kTickIntervalMs * 1000};
    event_add(tick_.get(), &every);
    raise_open_files();
    core_.start(steady_ms(), wall_ms());
    flush();
    return event_base_dispatch(base_.get()) == 0 ? 0 : 1;
  }

 private:
  EventHandle new_event(short what, event_callback_fn callback) {
    return EventHandle(event_new(base_.get(), -1, what, callback, this));
  }

  void raise_open_files() {
    const auto allowed = raise_open_file_limit();
    const auto wanted = wanted_open_files(platform_.max_connections);
    if (allowed && *allowed < wanted)
      log_.take(steady_ms(), telemetry::line(telemetry::Event::node_files_short, *allowed, wanted));
  }

  // ---- what comes in

  Client::OnResponse on_response() {
    return [this](std::uint64_t id, int status, std::string body) {
      core_.response(steady_ms(), id, status, body);
      flush();
    };
  }

  void on_frame(const std::string& node, const std::string& bytes) {
    core_.peer_message(steady_ms(), node, bytes);
    flush();
  }

  void on_request(std::uint64_t id, core::Method method, const char* path,
                  const std::string& body) {
    core_.set_near_connection_limit(server_.connections_short());
    core_.request(steady_ms(), wall_ms(), id, method, path, body);
    flush();
  }

  static void tick(evutil_socket_t, short, void* runtime) {
    static_cast<Runtime*>(runtime)->on_tick();
  }
  void on_tick() {
    if (processor_.update(steady_ms(), cpu_ms)) set_step_rate();
    server_.tick();
    core_.tick(steady_ms(), wall_ms());
    flush();
    log_.tick(steady_ms());
    core_.count_log_lines(log_.take_written());
    if (core_.wants_replay() && !replay_pending_) replay_in(0);
  }

  // ---- replay

  // The core counts in the share's own milliseconds.
  void set_step_rate() {
    core_.set_step_rate(replay_pacing_.steps_per_ms() * processor_.given_of_cores());
  }

  static void replay(evutil_socket_t, short, void* runtime) {
    static_cast<Runtime*>(runtime)->on_replay();
  }
  // One slice. Whatever comes in during the pause after it goes first.
  void on_replay() {
    constexpr double kLeastMs = 0.001;
    replay_pending_ = false;
    if (!core_.wants_replay()) return;
    const double before = cpu_ms();
    const auto steps = core_.replay(steady_ms(), replay_pacing_.slice_steps());
    const double took = std::max(cpu_ms() - before, kLeastMs);
    if (replay_pacing_.record(steps, took)) set_step_rate();
    flush();
    if (core_.wants_replay()) replay_in(replay_pacing_.pause_ms(took, processor_.given()));
  }

  void replay_in(double ms) {
    replay_pending_ = true;
    const auto us = static_cast<long>(ms * 1000);
    const timeval after{us / 1'000'000, us % 1'000'000};
    event_add(replay_.get(), &after);
  }

  // ---- what goes out

  void flush() {
    // Effects of effects come in by callback and flush by themselves; one pass may still add some.
    while (true) {
      auto effects = core_.take();
      if (effects.empty()) return;
      if (!effects.logs.empty()) {
        const auto now = steady_ms();
        for (const auto& line : effects.logs) log_.take(now, line);
      }
      for (auto& reply : effects.replies) server_.reply(reply);
      for (auto& message : effects.peer_messages) peers_.send(message.node, message.bytes);
      for (auto& each : effects.calls) call(std::move(each));
    }
  }

  void call(core::HttpCall c) {
    switch (c.target) {
      case core::Target::state:
        return state_.call(std::move(c));
      case core::Target::cloud:
        return cloud_.call(std::move(c));
      case core::Target::worker:
        return workers_.call(std::move(c));
    }
  }

  const Platform& platform_;
  Log log_;
  EventBaseHandle base_;
  ProcessorShare processor_;
  ReplayPacing replay_pacing_;
  core::Controller core_;
  Client state_, cloud_;
  WorkerClients workers_;
  Peers peers_;
  Server server_;
  EventHandle tick_, replay_;
  bool replay_pending_ = false;
};

}  // namespace

int serve(const Platform& platform, const OperatorSettings& op) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    auto runtime = std::make_unique<Runtime>(platform, op);
    return runtime->run();
  } catch (const std::exception& e) {
    Log().take(0, telemetry::line(telemetry::Event::node_cannot_start, e.what()));
    return 1;
  }
}

}  // namespace hitchfront::net
