#include "net/runtime.hpp"

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <utility>

#include "core/controller.hpp"
#include "net/client.hpp"
#include "net/clocks.hpp"
#include "net/handles.hpp"
#include "net/log.hpp"
#include "net/open_files.hpp"
#include "net/peers.hpp"
#include "net/processor_share.hpp"
#include "net/random_seed.hpp"
#include "net/replay_pacing.hpp"
#include "net/server.hpp"
#include "net/worker_clients.hpp"
#include "settings/constants.hpp"

namespace hitchfront::net {
namespace {
using namespace settings;

// Has two priorities, which the loop checks again after a few callbacks. Otherwise one iteration
// would process all pending worker connections, which can take longer than the leader's lease.
EventBaseHandle new_event_base() {
  const std::unique_ptr<event_config, FreeWith<event_config_free>> config(event_config_new());
  const timeval max_interval{0, kMaxDispatchIntervalMs * 1000};
  event_config_set_max_dispatch_interval(config.get(), &max_interval, kMaxDispatchCallbacks,
                                         kNormalEventPriority);
  EventBaseHandle base(event_base_new_with_config(config.get()));
  event_base_priority_init(base.get(), kEventPriorities);
  return base;
}

// Drives one controller: passes in the time, requests, responses, peer frames and replay slices,
// and carries out the effects. Single-threaded.
class Runtime {
 public:
  Runtime(const Platform& platform, const OperatorSettings& operator_settings)
      : platform_(platform),
        base_(new_event_base()),
        processor_share_(platform.cores),
        replay_pacing_(operator_settings.get("replay_share", {})),
        core_(platform, random_seed(), operator_settings),
        store_(base_.get(), platform.state_addr, kMaxStoreConnections, on_response(),
               kUrgentEventPriority),
        cloud_(base_.get(), platform.cloud_addr, kMaxCloudConnections, on_response()),
        workers_(base_.get(),
                 static_cast<std::size_t>(platform.max_connections * kMaxWorkerCallConnectionShare),
                 on_response()),
        peers_(
            base_.get(), platform,
            [this](const std::string& node, std::string bytes) { on_frame(node, bytes); },
            [this](const std::string& path) { return core_.page(steady_ms(), path); }),
        server_(
            base_.get(), platform.client_listen, platform.max_connections,
            [this](std::uint64_t id, core::Method method, const char* path, std::string body) {
              on_request(id, method, path, body);
            },
            core::kHeartbeatPath),
        tick_event_(new_event(EV_PERSIST, &Runtime::tick)),
        replay_event_(new_event(0, &Runtime::replay)) {
    event_priority_set(tick_event_.get(), kUrgentEventPriority);
    set_step_rate();
  }

  // Runs until the process is killed. Returns 1 if the event loop fails.
  int run() {
    const timeval interval{0, kTickIntervalMs * 1000};
    event_add(tick_event_.get(), &interval);
    apply_open_file_limit();
    core_.start(steady_ms(), wall_ms());
    flush();
    return event_base_dispatch(base_.get()) == 0 ? 0 : 1;
  }

 private:
  EventHandle new_event(short flags, event_callback_fn callback) {
    return EventHandle(event_new(base_.get(), -1, flags, callback, this));
  }

  // Raises the limit, and logs an event if it stays below what the settings require.
  void apply_open_file_limit() {
    const auto allowed = raise_open_file_limit();
    const auto required = required_open_files(platform_.max_connections);
    if (allowed && *allowed < required)
      log_.record(steady_ms(),
                  telemetry::line(telemetry::Event::node_files_short, *allowed, required));
  }

  // --- inputs ---

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
    core_.set_near_connection_limit(server_.near_connection_limit());
    core_.request(steady_ms(), wall_ms(), id, method, path, body);
    flush();
  }

  static void tick(evutil_socket_t, short, void* runtime) {
    static_cast<Runtime*>(runtime)->on_tick();
  }
  void on_tick() {
    if (processor_share_.update(steady_ms(), cpu_ms)) set_step_rate();
    server_.tick();
    core_.tick(steady_ms(), wall_ms());
    flush();
    log_.tick(steady_ms());
    core_.count_log_lines(log_.take_line_count());
    if (core_.wants_replay() && !replay_pending_) schedule_replay(0);
  }

  // --- replay ---

  // The core expects steps per millisecond of the node's CPU quota.
  void set_step_rate() {
    core_.set_step_rate(replay_pacing_.steps_per_ms() *
                        processor_share_.available_to_quota_ratio());
  }

  static void replay(evutil_socket_t, short, void* runtime) {
    static_cast<Runtime*>(runtime)->on_replay();
  }
  // Replays one slice, then pauses. Inputs that arrive during the pause are processed first.
  void on_replay() {
    constexpr double kMinSliceCpuMs = 0.001;
    replay_pending_ = false;
    if (!core_.wants_replay()) return;
    const double start_cpu_ms = cpu_ms();
    const auto steps = core_.replay(steady_ms(), replay_pacing_.slice_steps());
    const double slice_cpu_ms = std::max(cpu_ms() - start_cpu_ms, kMinSliceCpuMs);
    if (replay_pacing_.record(steps, slice_cpu_ms)) set_step_rate();
    flush();
    if (core_.wants_replay())
      schedule_replay(replay_pacing_.pause_ms(slice_cpu_ms, processor_share_.available()));
  }

  void schedule_replay(double delay_ms) {
    replay_pending_ = true;
    const auto delay_us = static_cast<long>(delay_ms * 1000);
    const timeval delay{delay_us / 1'000'000, delay_us % 1'000'000};
    event_add(replay_event_.get(), &delay);
  }

  // --- effects ---

  void flush() {
    // Carrying out an effect may run a callback into the core, which adds further effects.
    while (true) {
      auto effects = core_.take();
      if (effects.empty()) return;
      if (!effects.logs.empty()) {
        const auto now = steady_ms();
        for (const auto& line : effects.logs) log_.record(now, line);
      }
      for (auto& reply : effects.replies) server_.reply(reply);
      for (auto& message : effects.peer_messages) peers_.send(message.node, message.bytes);
      for (auto& outgoing_call : effects.calls) call(std::move(outgoing_call));
    }
  }

  void call(core::HttpCall call) {
    switch (call.target) {
      case core::Target::state:
        return store_.call(std::move(call));
      case core::Target::cloud:
        return cloud_.call(std::move(call));
      case core::Target::worker:
        return workers_.call(std::move(call));
    }
  }

  const Platform& platform_;
  Log log_;
  EventBaseHandle base_;
  ProcessorShare processor_share_;
  ReplayPacing replay_pacing_;
  core::Controller core_;
  Client store_, cloud_;
  WorkerClients workers_;
  Peers peers_;
  Server server_;
  EventHandle tick_event_, replay_event_;
  bool replay_pending_ = false;
};

}  // namespace

int serve(const Platform& platform, const OperatorSettings& operator_settings) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    auto runtime = std::make_unique<Runtime>(platform, operator_settings);
    return runtime->run();
  } catch (const std::exception& error) {
    Log().record(0, telemetry::line(telemetry::Event::node_cannot_start, error.what()));
    return 1;
  }
}

}  // namespace hitchfront::net
