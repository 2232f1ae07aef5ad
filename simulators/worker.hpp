// A simulator for a worker, after its published protocol: incarnations, leases, fencing tokens and
// tasks. Time comes in, in milliseconds; whoever drives it plays its network and its tasks' work.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "simulators/store.hpp"
#include "wire/job.hpp"
#include "wire/worker.hpp"

namespace hitchfront::simulators {

class Worker {
 public:
  // The machine that it runs on.
  struct Place {
    std::string name, addr, type, zone;
    bool spot = false;
    double cpus = 0, gpus = 0, memory_gb = 0, fetch_gb_per_s = 1;
  };
  // What the worker asks of its driver, and tells it.
  struct Hooks {
    // The job's description, or nothing if nobody submitted it.
    std::function<const wire::Job*(const std::string& id)> job;
    std::function<double(const std::string& id, std::uint32_t task)> run_s;
    std::function<bool(const std::string& id, std::uint32_t task)>
        completed;  // result kept elsewhere
    std::function<bool(const std::string& id, std::uint32_t task)>
        fails;  // a second after its start
    std::function<void(const std::string&id, std::uint32_t task)> started, left, done;
    std::function<void()> lease_expires_at;
  };
  // `nodes`: the controllers' names. It begins with one of them, drawn.
  Worker(Place place, std::vector<std::string> nodes, std::int64_t now, std::int64_t heartbeat_ms,
         std::int64_t lease_ms, Hooks hooks, std::uint64_t seed);

  // A heartbeat to send to a controller; `id` comes back with its answer.
  struct Outgoing {
    std::string node, body;
    std::uint64_t id;
  };
  // What it sends now, if anything.
  std::optional<Outgoing> poll(std::int64_t now);
  // The answer to a heartbeat.
  void answered(std::int64_t now, std::uint64_t id, int status, const std::string& body);
  // A command that a controller sends to the machine by itself.
  Response direct(std::int64_t now, const std::string& path, const std::string& body);
  void vanish();  // the machine is gone, with everything on it

  const Place& place() const { return place_; }
  std::uint64_t incarnation() const { return incarnation_; }
  std::optional<std::int64_t> taken_at;  // spot notice
  bool hung = false;                     // executes nothing, and may go on later

  struct Task {
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::Cause cause = wire::Cause::none;
    bool saved = false;
    bool on = false;        // it has started and not left
    bool fails = false;     // it will end with an error
    std::int64_t next = 0;  // when the state ends
  };
  const std::map<std::pair<std::string, std::uint32_t>, Task>& tasks() const { return tasks_; }

 private:
  void step(std::int64_t now);
  using TaskKey = std::pair<std::string, std::uint32_t>;  // job, task

  void start_running(std::int64_t now, const TaskKey& key, Task& t);
  void run(std::int64_t now, const wire::Command& c);
  void stop(std::int64_t now, const wire::Command& c);
  void launch(std::int64_t now, const wire::Command& c);
  bool has_capacity(const wire::Job& job) const;
  // When the image is there, fetched by now or from now on.
  std::int64_t fetched_at(std::int64_t now, const wire::Job& job);
  void end(const TaskKey& key, Task& t, wire::Cause cause, bool saved);
  wire::Heartbeat heartbeat(std::int64_t now);
  void next_node(std::int64_t now);

  Place place_;
  std::vector<std::string> nodes_;
  std::size_t node_ = 0;
  std::int64_t heartbeat_ms_, lease_ms_;
  Hooks hooks_;
  std::mt19937_64 random_;
  std::uint64_t incarnation_ = 1, seq_ = 0, fencing_token_ = 0, in_flight_ = 0, next_id_ = 1;
  std::int64_t in_flight_since_ = 0, next_heartbeat_ = 0;
  std::int64_t not_before_ = 0;  // it turns to another controller at the earliest
  std::int64_t last_sent_ = -1'000'000;
  std::int64_t answered_sent_;  // when the last answered heartbeat was sent: its lease counts from
  std::uint64_t in_flight_incarnation_ = 0;
  bool changed_ = true;  // there is something to report before the next heartbeat is due
  std::map<std::pair<std::string, std::uint32_t>, Task> tasks_;
  std::map<std::string, std::int64_t> fetching_;  // image -> ready at
};

}  // namespace hitchfront::simulators
