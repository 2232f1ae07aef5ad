#include "simulators/host.hpp"

#include <event2/event.h>

#include "simulators/clock.hpp"

namespace hitchfront::simulators {
namespace {

const char* method_name(core::Method m) {
  return m == core::Method::get ? "GET" : m == core::Method::post ? "POST" : "DELETE";
}
timeval to_timeval(std::int64_t ms) {
  return {static_cast<time_t>(ms / 1000), static_cast<suseconds_t>(ms % 1000 * 1000)};
}

constexpr int kSharedConnections = 50;  // to a controller, for all machines
constexpr int kAddressesPerNetwork = 250;
constexpr std::int64_t kHeartbeatTimeoutMs = 4000;  // PROTOCOL
constexpr int kCommandConnections = 50;             // accepted by one machine

}  // namespace

Host::Host(event_base* base, const std::string& state, const std::string& cloud,
           std::map<std::string, std::string> nodes, std::vector<wire::MachineType> types,
           RunTime run_s, HostOptions options)
    : base_(base),
      nodes_(std::move(nodes)),
      run_s_(std::move(run_s)),
      options_(std::move(options)),
      cloud_(types, 1, options_.list_lag_ms) {
  set_up_cloud();
  listen(state, cloud);
  if (!options_.own_sockets)
    for (const auto& [name, addr] : nodes_)
      shared_clients_[name] = std::make_unique<net::Client>(
          base, addr, kSharedConnections,
          [this](std::uint64_t id, int status, std::string body) { answered(id, status, body); });
  tick_ = event_new(
      base, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Host*>(self)->tick(); }, this);
  const auto every = to_timeval(options_.tick_ms);
  event_add(tick_, &every);
}

void Host::set_up_cloud() {
  for (const auto& t : cloud_.types())
    for (const auto& z : t.zones)
      for (const char* kind : {"/spot", "/ordinary"})
        cloud_.capacity[t.name + "/" + z + kind] = options_.machines;
  if (!options_.commands)
    cloud_.addr_of = [](const std::string&) { return std::string(); };
  else if (options_.own_sockets)
    cloud_.addr_of = [this](const std::string& name) { return address_of(name); };
  cloud_.on_up = [this](const Cloud::Machine& m) { add(m); };
  cloud_.on_gone = [this](const std::string& name) {
    const auto it = workers_.find(name);
    if (it == workers_.end()) return;
    it->second.worker->vanish();
    workers_.erase(it);
  };
}

void Host::listen(const std::string& state, const std::string& cloud) {
  state_server_ = std::make_unique<net::Server>(
      base_, state, options_.connections,
      [this](std::uint64_t id, core::Method m, const char* path, std::string body) {
        ++store_requests_;
        store_.handle(steady_ms(), method_name(m), path, body, [this, id](const Response& r) {
          state_server_->reply({id, r.status, r.body});
        });
      });
  cloud_server_ = std::make_unique<net::Server>(
      base_, cloud, options_.connections,
      [this](std::uint64_t id, core::Method m, const char* path, std::string body) {
        const auto r = cloud_.handle(steady_ms(), method_name(m), path, body);
        cloud_server_->reply({id, r.status, r.body});
      });
}

Host::~Host() {
  event_free(tick_);
}

std::string Host::address_of(const std::string&) {
  const int n = next_address_++;
  return options_.command_network + "." + std::to_string(n / kAddressesPerNetwork) + "." +
         std::to_string(n % kAddressesPerNetwork + 1) + ":" + std::to_string(options_.command_port);
}

Worker::Place Host::place_of(const Cloud::Machine& m) const {
  Worker::Place place{
      m.listed.name, m.listed.addr, m.listed.type, m.listed.zone, m.listed.spot, 0, 0, 0, 1};
  for (const auto& t : cloud_.types())
    if (t.name == place.type) {
      place.cpus = t.cpus;
      place.gpus = t.gpus;
      place.memory_gb = t.memory_gb;
      place.fetch_gb_per_s = t.fetch_gb_per_s;
    }
  return place;
}

Worker::Hooks Host::hooks_of(const Worker::Place& place) {
  Worker::Hooks hooks;
  hooks.job = [this](const std::string& id) -> const wire::Job* {
    if (auto it = jobs_.find(id); it != jobs_.end()) return &it->second;
    const auto* value = store_.value("live/" + id);
    const auto record = value != nullptr ? wire::decode_unfinished_job(*value) : std::nullopt;
    return record ? &(jobs_[id] = record->job) : nullptr;
  };
  hooks.run_s = run_s_;
  hooks.completed = [this](const std::string& id, std::uint32_t t) {
    return done_.contains({id, t});
  };
  hooks.started = [this, place](const std::string& id, std::uint32_t t) {
    if (on_started) on_started(place, id, t);
  };
  hooks.left = [this, place](const std::string& id, std::uint32_t t) {
    if (on_left) on_left(place, id, t);
  };
  hooks.lease_expires_at = [this] { ++traffic_.leases_lost; };
  hooks.done = [this, place](const std::string& id, std::uint32_t t) {
    done_.insert({id, t});
    if (on_done) on_done(place, id, t);
  };
  return hooks;
}

void Host::add(const Cloud::Machine& m) {
  const auto place = place_of(m);
  std::vector<std::string> names;
  for (const auto& [name, addr] : nodes_) names.push_back(name);
  auto& machine = workers_[place.name];
  const auto seed = std::hash<std::string>{}(place.name);
  machine.worker = std::make_unique<Worker>(place, names, steady_ms(), options_.heartbeat_ms,
                                            options_.lease_ms, hooks_of(place), seed);
  if (options_.own_sockets && options_.commands)
    machine.server = std::make_unique<net::Server>(
        base_, place.addr, kCommandConnections,
        [this, name = place.name](std::uint64_t id, core::Method, const char* path,
                                  std::string body) { command(name, id, path, body); });
}

net::Client& Host::client(Machine& machine, const std::string& node) {
  if (!options_.own_sockets) return *shared_clients_.at(node);
  auto& own = machine.clients[node];
  // It reports to one controller at a time: the connections to others are closed.
  if (!own) {
    std::erase_if(machine.clients, [](const auto& c) { return c.second && c.second->idle(); });
    machine.clients[node] = std::make_unique<net::Client>(
        base_, nodes_.at(node), 1,
        [this](std::uint64_t id, int status, std::string body) { answered(id, status, body); });
  }
  return *machine.clients.at(node);
}

std::int64_t Host::delay_of(const Machine& machine) const {
  const auto it = delays_.find(machine.worker->place().zone);
  return it == delays_.end() ? 0 : it->second;
}

void Host::later(std::int64_t ms, std::function<void()> what) {
  if (ms <= 0) return what();
  auto* pending =
      new std::function<void()>([alive = std::weak_ptr<int>(alive_), what = std::move(what)] {
        if (alive.lock()) what();
      });
  const auto after = to_timeval(ms);
  event_base_once(
      base_, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* p) {
        const std::unique_ptr<std::function<void()>> run(static_cast<std::function<void()>*>(p));
        (*run)();
      },
      pending, &after);
}

void Host::send(Machine& machine, Worker::Outgoing out) {
  ++traffic_.heartbeats;
  traffic_.heartbeat_bytes += out.body.size();
  if (is_cut(machine)) return;  // the worker gives it up by itself
  later(delay_of(machine), [this, name = machine.worker->place().name, out = std::move(out)] {
    const auto it = workers_.find(name);
    if (it == workers_.end()) return;
    core::HttpCall c;
    c.id = next_call_++;
    c.method = core::Method::post;
    c.path = "/agent/beat";
    c.body = out.body;
    c.timeout_ms = kHeartbeatTimeoutMs;
    heartbeats_[c.id] = {name, out.id};
    client(it->second, out.node).call(std::move(c));
  });
}

void Host::answered(std::uint64_t call, int status, const std::string& body) {
  const auto found = heartbeats_.find(call);
  if (found == heartbeats_.end()) return;
  const auto heartbeat = found->second;
  heartbeats_.erase(found);
  const auto it = workers_.find(heartbeat.machine);
  if (it == workers_.end()) return;
  traffic_.answered += status == 200 ? 1 : 0;
  traffic_.answer_bytes += body.size();
  if (is_cut(it->second)) return;
  later(delay_of(it->second), [this, heartbeat, status, body] {
    if (const auto w = workers_.find(heartbeat.machine); w != workers_.end())
      w->second.worker->answered(steady_ms(), heartbeat.id, status, body);
  });
}

void Host::command(const std::string& name, std::uint64_t request, const char* path,
                   const std::string& body) {
  const auto it = workers_.find(name);
  if (it == workers_.end() || is_cut(it->second)) return;  // whoever asked gives up
  later(delay_of(it->second), [this, name, request, path = std::string(path), body] {
    const auto w = workers_.find(name);
    if (w == workers_.end()) return;
    const auto r = w->second.worker->direct(steady_ms(), path, body);
    ++traffic_.commands;
    traffic_.command_bytes += body.size() + r.body.size();
    w->second.server->reply({request, r.status, r.body});
    if (r.status == 200) repeat_command(name, path, body);
  });
}

void Host::repeat_command(const std::string& machine, const std::string& path,
                          const std::string& body) {
  if (options_.repeat_commands_ms <= 0) return;
  later(options_.repeat_commands_ms, [this, machine, path, body] {
    if (const auto w = workers_.find(machine); w != workers_.end())
      w->second.worker->direct(steady_ms(), path, body);
  });
}

void Host::tick() {
  const auto now = steady_ms();
  store_.tick(now);
  cloud_.tick(now);
  for (auto& [name, machine] : workers_)
    if (auto out = machine.worker->poll(now)) send(machine, std::move(*out));
}

}  // namespace hitchfront::simulators
