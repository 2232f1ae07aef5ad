#include "net/runtime.hpp"

#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <ctime>
#include <memory>
#include <random>

#include "core/controller.hpp"
#include "net/client.hpp"
#include "net/log.hpp"
#include "net/open_files.hpp"
#include "net/peers.hpp"
#include "net/server.hpp"
#include "net/worker_clients.hpp"
#include "settings/constants.hpp"

namespace hitchfront::net {
namespace {
using namespace settings;

core::Ms steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
std::int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
double cpu_ms() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1000 + static_cast<double>(t.tv_nsec) / 1e6;
}

// Two priorities, looked at anew after a few callbacks. Without them a turn of the loop dealt with
// every worker that had something to say, seconds of it on a small share of a processor, before the
// lease on the lead was renewed: on simulated calm days of a fleet of 1,271 machines the lead was
// lost that way.
event_base* new_base() {
  auto* config = event_config_new();
  const timeval most{0, kTurnMs * 1000};
  event_config_set_max_dispatch_interval(config, &most, kTurnCallbacks, kOrdinaryPriority);
  auto* base = event_base_new_with_config(config);
  event_config_free(config);
  event_base_priority_init(base, kPriorities);
  return base;
}

class Runtime {
 public:
  Runtime(const Platform& p, const Operator& op)
      : platform_(p),
        base_(new_base()),
        given_(std::min(platform_.cores, 1.0)),
        replay_share_(op.get("replay_share", {})),
        core_(p, std::random_device{}(), op),
        state_(base_.get(), p.state_addr, kStoreConnections, respond(), kUrgentPriority),
        cloud_(base_.get(), p.cloud_addr, kCloudConnections, respond()),
        workers_(base_.get(), static_cast<std::size_t>(p.max_connections * kWorkerCallShare),
                 respond()),
        peers_(
            base_.get(), p,
            [this](const std::string& node, std::string bytes) {
              core_.peer(steady_ms(), node, bytes);
              flush();
            },
            [this](const std::string& path) { return core_.page(steady_ms(), path); }),
        server_(
            base_.get(), p.client_listen, p.max_connections,
            [this](std::uint64_t id, core::Method method, const char* path, std::string body) {
              core_.set_connections_short(server_.connections_short());
              core_.request(steady_ms(), wall_ms(), id, method, path, body);
              flush();
            },
            core::kHeartbeatPath) {
    set_step_rate();
  }

  int run() {
    tick_ = event_new(
        base_.get(), -1, EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<Runtime*>(self)->tick(); }, this);
    replay_ = event_new(
        base_.get(), -1, 0,
        [](evutil_socket_t, short, void* self) { static_cast<Runtime*>(self)->replay(); }, this);
    event_priority_set(tick_, kUrgentPriority);
    const timeval every{0, kTickMs * 1000};
    event_add(tick_, &every);
    raise_open_files();
    core_.start(steady_ms(), wall_ms());
    flush();
    return event_base_dispatch(base_.get()) == 0 ? 0 : 1;
  }

 private:
  struct FreeBase {
    void operator()(event_base* b) const { event_base_free(b); }
  };

  Client::OnResponse respond() {
    return [this](std::uint64_t id, int status, std::string body) {
      core_.response(steady_ms(), id, status, body);
      flush();
    };
  }

  void raise_open_files() {
    const auto allowed = raise_open_file_limit();
    const auto wanted = wanted_open_files(platform_.max_connections);
    if (allowed && *allowed < wanted)
      log_.take(steady_ms(), telemetry::line(telemetry::Event::node_files_short, *allowed, wanted));
  }

  void tick() {
    watch_processor();
    server_.tick();
    core_.tick(steady_ms(), wall_ms());
    flush();
    log_.tick(steady_ms());
    core_.logged(log_.take_written());
    if (core_.wants_replay() && !replay_pending_) later(0);
  }

  // What this process gets of the processor, in the clock that slices are measured by. A clock of
  // processor time shows at most the node's share. Where more was seen over seconds, the platform
  // does not cap at the share, or its clock counts waiting for it too (as seen on a platform that
  // simulates time); either way that much is there. Taken for a cap, replay got a twentieth of its
  // part.
  void watch_processor() {
    const auto now = steady_ms();
    if (now - watched_at_ < kWatchProcessorMs) return;
    const double cpu = cpu_ms();
    if (watched_at_ != 0)
      given_ =
          std::clamp((cpu - watched_cpu_) / static_cast<double>(now - watched_at_), given_, 1.0);
    watched_at_ = now;
    watched_cpu_ = cpu;
    set_step_rate();
  }

  // The core counts in the share's own milliseconds.
  void set_step_rate() { core_.set_step_rate(step_rate_ * given_ / platform_.cores); }

  // One slice. The pause after it keeps replay within its share of the processor; whatever comes in
  // meanwhile goes first.
  void replay() {
    replay_pending_ = false;
    if (!core_.wants_replay()) return;
    const double before = cpu_ms();
    const auto steps = core_.replay(steady_ms(), static_cast<std::uint64_t>(step_rate_ * kSliceMs));
    const double took = std::max(cpu_ms() - before, 0.001);
    if (steps > 100) {
      step_rate_ = 0.9 * step_rate_ + 0.1 * std::clamp(static_cast<double>(steps) / took,
                                                       step_rate_ / 4, step_rate_ * 4);
      set_step_rate();
    }
    flush();
    if (core_.wants_replay()) later(took / (given_ * replay_share_));
  }

  void later(double ms) {
    replay_pending_ = true;
    const auto us = static_cast<long>(ms * 1000);
    const timeval after{us / 1'000'000, us % 1'000'000};
    event_add(replay_, &after);
  }

  void flush() {
    // Effects of effects come in by callback and flush by themselves; one pass may still add some.
    while (true) {
      auto effects = core_.take();
      if (effects.empty()) return;
      if (!effects.logs.empty()) {
        const auto now = steady_ms();
        for (const auto& l : effects.logs) log_.take(now, l);
      }
      for (auto& r : effects.replies) server_.reply(r);
      for (auto& p : effects.peers) peers_.send(p.node, p.bytes);
      for (auto& c : effects.calls) call(std::move(c));
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
  std::unique_ptr<event_base, FreeBase> base_;
  double given_;  // of a processor
  core::Ms watched_at_ = 0;
  double watched_cpu_ = 0;
  double replay_share_;
  core::Controller core_;
  Client state_, cloud_;
  WorkerClients workers_;
  Peers peers_;
  Server server_;
  event* tick_ = nullptr;
  event* replay_ = nullptr;
  bool replay_pending_ = false;
  double step_rate_ = 20000;  // steps in a millisecond, measured from the first slice on
};

}  // namespace

int serve(const Platform& platform, const Operator& op) {
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
