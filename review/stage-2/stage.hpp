// Stand-ins for the second review's scripts: the state service, the cloud, workers and users, on
// loopback and the real clock, after PROTOCOL; and the controllers as child processes. Everything
// runs in one thread; a case is written as a sequence of steps that run the event loop in between.
#pragma once
#include <event2/event.h>
#include <event2/http.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace stage {

using nlohmann::json;

std::int64_t now_ms();

// The outcome of a script.
constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

struct Request {
  std::string method, path, body;
};
// Sends the response; may be called later, and need not be called at all.
using Respond = std::function<void(int status, const std::string& body)>;
using Handler = std::function<void(const Request& request, const Respond& respond)>;

// Settings of the deployment: those of one of the users' site files, in small.
struct Site {
  std::vector<std::string> nodes = {"hitchpost-0", "hitchpost-1", "hitchpost-2"};
  std::string zone = "amsterdam-west";
  double report_s = 2, lease_s = 12, cancel_s = 37;
  double state_rps = 200, state_write_rps = 80, value_kb = 8;
  int txn_ops = 24;
  double cloud_rps = 3, list_lag_s = 12;
  double cores = 0.16, memory_mb = 72;
  int max_connections = 1500;
  json teams = json::array();
  json types = json::array();  // as in GET /flavors
};

// The site vran-clearing in small: its first zone, its teams, and one of its machine types.
Site small_site();
// An array of that site, with an image of 0.5 GB.
json make_job(int number, int lots, double cpus, double run_s);

class Stage;

// The state service.
class Store {
 public:
  explicit Store(Stage& stage) : stage_(stage) {}
  // Every request is evaluated when it arrives; its answer leaves `delay` later. A negative delay:
  // there is no answer.
  std::function<std::int64_t(const std::string& node, const Request& request)> delay;
  void handle(const std::string& node, const Request& request, const Respond& respond);
  void tick();
  const json* value(const std::string& key) const;

 private:
  struct Item {
    json value;
    std::uint64_t version = 0, lease = 0;
  };
  struct Lease {
    std::int64_t ttl = 0, until = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    bool dropped = false;
    json value;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    std::int64_t until = 0;
    Respond respond;
  };
  json read(const std::string& path, int& status) const;
  json transact(const std::string& body, int& status);
  json lease_call(const Request& request, int& status);
  bool answer(const Watch& watch, bool expired) const;
  void answer_watches();
  void end_lease(std::uint64_t lease);

  Stage& stage_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  std::vector<Watch> watches_;
  std::uint64_t revision_ = 0, next_lease_ = 1;
};

// A worker on a machine.
class Worker {
 public:
  struct Task {
    std::uint64_t attempt = 0;
    std::string state, cause;
    std::int64_t next = 0;  // when it has its image, or when it ends
    bool saved = false;
  };
  Worker(Stage& stage, std::string name, std::string type, double cpus, double memory_gb,
         bool spot);
  void tick();
  std::string report();
  const std::string& name() const { return name_; }
  bool has(const std::string& task) const;  // on the machine now, by PROTOCOL
  double free_cpus() const;
  bool up = false;       // begins to report when set
  bool cut = false;      // without a network
  bool gone = false;     // taken back by the cloud
  double notice_s = -1;  // announced, in seconds from now
  int answered = 0;      // reports that got a 200 which it accepted
  std::uint64_t token() const { return token_; }
  std::int64_t last_sent() const { return last_sent_; }  // its last report, by now_ms()
  std::string type, zone, addr;
  double cpus, memory_gb;
  bool spot;
  std::int64_t rented_at = 0;
  // Holds a direct command up: returns for how long, in milliseconds.
  std::function<std::int64_t(const json& commands)> hold_command;
  void take_back();

 private:
  void handle(const Request& request, const Respond& respond);
  void send();
  void on_response(std::uint64_t id, int status, const std::string& body);
  void execute(const json& orders);
  void launch(const std::string& task, std::uint64_t attempt);
  void begin(const std::string& task, Task& entry);
  void end(const std::string& task, Task& entry, const std::string& cause);
  void next_node();

  Stage& stage_;
  std::string name_;
  std::map<std::string, Task> tasks_;
  std::set<std::string> images_;
  std::uint64_t incarnation_ = 1, seq_ = 0, token_ = 0;
  std::int64_t lease_from_ = 0, next_report_ = 0, not_before_ = 0, last_sent_ = 0,
               token_reported_at_ = INT64_MIN / 2;
  bool changed_ = false, began_ = false;
  std::size_t node_ = 0;
  std::uint64_t in_flight_ = 0, next_id_ = 1, in_flight_incarnation_ = 0;
  std::int64_t in_flight_since_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

struct Answer {
  int status = 0;  // 0: none
  std::string body;
  std::int64_t sent_at = 0, received_at = 0;
  json parsed() const { return json::parse(body, nullptr, false); }
  std::string job_status() const;  // the field `Status`, or ""
};

class Stage {
 public:
  // `folder`: of the case; its record.txt is written anew.
  Stage(Site site, const std::string& folder);
  ~Stage();

  bool trouble() const { return trouble_; }
  // Writes a line to record.txt, with the time since the start.
  void record(const char* format, ...) __attribute__((format(printf, 2, 3)));
  int finish(int outcome, const std::string& why);

  // --- controllers ---
  void start_all();
  void start(const std::string& node);
  void kill_node(const std::string& node);  // without a signal that it could handle
  bool ended_by_itself();                   // a controller ended without kill_node()
  std::string leader() const;               // as the state service has it
  const std::vector<std::string>& nodes() const { return site_.nodes; }

  // --- time ---
  void run_for(std::int64_t ms);
  bool wait_for(const std::function<bool()>& condition, std::int64_t ms);
  void later(std::int64_t ms, std::function<void()> what);
  std::int64_t elapsed_ms() const { return now_ms() - started_at_; }

  // --- users ---
  // A request on a connection of its own. The record has it and its answer.
  void ask(const std::string& node, const std::string& method, const std::string& path,
           const std::string& body, std::int64_t timeout_ms,
           std::function<void(const Answer&)> on_answer);
  Answer ask_and_wait(const std::string& node, const std::string& method, const std::string& path,
                      const std::string& body = {});
  // Repeats a submission or a cancellation as PROTOCOL says until it is answered.
  Answer insist(const std::string& method, const std::string& path, const std::string& body);
  bool healthy(const std::string& node);

  // --- the platform ---
  Store& store() { return store_; }
  Worker& add_machine(const std::string& type, bool spot, bool up);
  const std::vector<std::unique_ptr<Worker>>& machines() const { return machines_; }
  int capacity = 0;               // machines that the cloud still has
  std::int64_t boot_ms = 30'000;  // of a machine that is rented
  const Site& site() const { return site_; }
  // What a job's tasks do.
  json job(const std::string& task) const;  // as submitted; null: unknown
  void upload(const json& job) { jobs_[job["Ref"].get<std::string>()] = job; }
  std::function<double(const std::string& task)> run_s;  // seconds
  std::function<void(const std::string& task, const Worker& machine)> on_started;
  // Called by workers.
  void task_started(const std::string& task, const Worker& machine);
  bool completed(const std::string& task) const { return completed_.contains(task); }
  void task_completed(const std::string& task) { completed_.insert(task); }
  // Tasks that were started on a machine while they were on another.
  int ran_twice = 0;

  // --- plumbing ---
  int listen(Handler handler);  // returns the port
  void call(int port, const std::string& method, const std::string& path, const std::string& body,
            std::int64_t timeout_ms, std::function<void(int status, const std::string& body)> done);
  int client_port(const std::string& node) const { return ports_.at(node).client; }
  double random();
  static void on_tick(evutil_socket_t, short, void* self);

 private:
  struct Ports {
    int client = 0, peer = 0, state = 0, cloud = 0;
  };
  void cloud(const Request& request, const Respond& respond);
  json config(const std::string& node) const;
  int free_port();

  Site site_;
  bool trouble_ = true;
  std::int64_t started_at_ = 0;
  std::string folder_, work_;
  std::FILE* record_ = nullptr;
  event_base* base_ = nullptr;
  event* tick_ = nullptr;
  Store store_;
  std::map<std::string, Ports> ports_;
  std::map<std::string, int> pids_;
  std::vector<std::unique_ptr<Worker>> machines_;
  std::map<std::string, json> jobs_, hired_;
  std::set<std::string> completed_;
  std::vector<std::string> program_;
  int next_machine_ = 1;
  std::uint64_t seed_ = 1;
};

}  // namespace stage
