// The simulators over HTTP on loopback: a state service, a cloud, and the machines rented from it.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "net/client.hpp"
#include "net/server.hpp"
#include "simulators/cloud.hpp"
#include "simulators/worker.hpp"

namespace hitchfront::simulators {

struct HostOptions {
  std::int64_t heartbeat_ms = 1000, lease_ms = 10'000;
  std::int64_t tick_ms = 20;        // between two looks at every machine
  std::int64_t list_lag_ms = 1000;  // of the cloud's list of machines
  int machines = 4;                 // of each type, zone and kind that the cloud has
  int connections = 500;            // accepted by the state service, and by the cloud
  // Each machine reports over a connection of its own, and takes commands at its own address: what
  // it costs in sockets is then what real workers cost. Otherwise they share a few connections, and
  // no command reaches them directly.
  bool own_sockets = false;
  bool commands = true;  // false: machines give no address, and nothing listens for commands
  // After which each direct command that was executed is delivered to its machine once more;
  // 0: never.
  std::int64_t repeat_commands_ms = 0;
  std::string command_network = "127.1";  // first half of the machines' addresses
  int command_port = 9000;
};

// Counts of what went between machines and controllers.
struct HostTraffic {
  std::uint64_t heartbeats = 0, answered = 0;           // answered: with 200
  std::uint64_t heartbeat_bytes = 0, answer_bytes = 0;  // bodies
  std::uint64_t commands = 0, command_bytes = 0;        // direct ones; bodies both ways
  std::uint64_t leases_lost = 0;
};

// Not thread-safe: everything happens in the thread of the event loop.
class Host {
 public:
  using RunTime = std::function<double(const std::string& job, std::uint32_t task)>;  // seconds
  // `nodes`: controllers by name, with the addresses that workers report to.
  Host(event_base* base, const std::string& state, const std::string& cloud,
       std::map<std::string, std::string> nodes, std::vector<wire::MachineType> types,
       RunTime run_s, HostOptions options = {});
  ~Host();
  // One way between the machines of a zone and every controller.
  void set_delay(const std::string& zone, std::int64_t ms) { delays_[zone] = ms; }
  // Nothing passes between the machines of a zone and any controller, in either direction.
  void cut(const std::string& zone) { cut_.insert(zone); }
  void mend(const std::string& zone) { cut_.erase(zone); }
  std::size_t machines() const { return workers_.size(); }
  const HostTraffic& traffic() const { return traffic_; }
  std::uint64_t store_requests() const { return store_requests_; }
  // What happens on the machines, and the state service itself, for whoever watches or breaks it.
  std::function<void(const Worker::Place&place, const std::string&job, std::uint32_t task)>
      on_started, on_left, on_done;
  Store& store() { return store_; }
  Cloud& cloud() { return cloud_; }

 private:
  struct Machine {
    std::unique_ptr<Worker> worker;
    std::map<std::string, std::unique_ptr<net::Client>> clients;  // by controller; of its own
    std::unique_ptr<net::Server> server;                          // for commands
  };
  struct Heartbeat {
    std::string machine;
    std::uint64_t id = 0;
  };
  void set_up_cloud();
  void listen(const std::string& state, const std::string& cloud);
  void tick();
  void add(const Cloud::Machine& m);
  Worker::Place place_of(const Cloud::Machine& m) const;
  Worker::Hooks hooks_of(const Worker::Place& place);
  void send(Machine& machine, Worker::Outgoing out);
  void answered(std::uint64_t call, int status, const std::string& body);
  void command(const std::string& machine, std::uint64_t request, const char* path,
               const std::string& body);
  // Delivers a direct command once more; nobody waits for the answer.
  void repeat_command(const std::string& machine, const std::string& path, const std::string& body);
  net::Client& client(Machine& machine, const std::string& node);
  void later(std::int64_t ms, std::function<void()> what);
  bool is_cut(const Machine& machine) const { return cut_.contains(machine.worker->place().zone); }
  std::int64_t delay_of(const Machine& machine) const;
  std::string address_of(const std::string& machine);

  event_base* base_;
  std::map<std::string, std::string> nodes_;
  RunTime run_s_;
  HostOptions options_;
  HostTraffic traffic_;
  std::uint64_t store_requests_ = 0;
  std::map<std::string, std::int64_t> delays_;
  std::set<std::string> cut_;
  // What was put off is not done once the host is gone.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  int next_address_ = 0;
  Store store_;
  Cloud cloud_;
  std::unique_ptr<net::Server> state_server_, cloud_server_;
  std::map<std::string, std::unique_ptr<net::Client>> shared_clients_;  // by controller
  std::map<std::string, Machine> workers_;
  std::unordered_map<std::uint64_t, Heartbeat> heartbeats_;  // by call
  std::map<std::string, wire::Job> jobs_;
  std::set<std::pair<std::string, std::uint32_t>> done_;
  std::uint64_t next_call_ = 1;
  event* tick_ = nullptr;
};

}  // namespace hitchfront::simulators
