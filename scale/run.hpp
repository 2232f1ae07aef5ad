// One scale run: starts the controllers, plays workers, state service, cloud and users in this
// process, breaks what the options ask for, and measures. Everything listens on loopback, and
// everything that was started is ended with it.
#pragma once
#include <event2/event.h>

#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

#include "net/client.hpp"
#include "scale/options.hpp"
#include "scale/result.hpp"
#include "simulators/host.hpp"
#include "simulators/process.hpp"
#include "tests/simulation/invariant_checker.hpp"

namespace hitchfront::scale {

class Run {
 public:
  explicit Run(Options options);
  ~Run();
  // Until it is over, or `interrupted` says so.
  Result play(std::function<bool()> interrupted);

 private:
  struct Controller {
    std::string name, region;
    simulators::Process process;
    std::unique_ptr<net::Client> client;
    std::int64_t back_at = 0;  // when it is started again
    double ended_s = 0;        // processor time of its ended processes
    double last_s = 0;         // of the running one, as last seen
    double measured_from_s = 0, peak = 0, memory_mb = 0;
    double processor_s() const { return ended_s + last_s; }
  };
  struct User {
    std::string id, body;
    std::int64_t submitted = 0, next = 0, cancel_at = 0;
    bool waiting = false, accepted = false, cancelled = false, over = false;
  };
  using OnAnswer = std::function<void(int status, const std::string& body)>;

  std::int64_t now() const;
  nlohmann::json settings(std::size_t controller) const;
  void start(Controller& controller);
  void end(Controller& controller, std::int64_t back_after_ms);
  void tick();
  void act_on_users(std::int64_t t);
  void fill();
  void submit_jobs(std::int64_t t);
  void add_job(std::int64_t t, bool urgent, int tasks);
  void act(std::size_t user, std::int64_t t);
  void ask(const std::string& path, core::Method method, const std::string& body, OnAnswer done);
  void break_things(std::int64_t t);
  void look(std::int64_t t);  // at processors and memory, and writes a line of progress
  Controller* leader();
  void begin_measuring(std::int64_t t);
  Result result() const;

  Options options_;
  event_base* base_;
  std::mt19937_64 random_{11};
  std::vector<Controller> controllers_;
  std::vector<std::string> zones_;
  std::unique_ptr<simulators::Host> host_;
  testing::InvariantChecker checker_;
  std::deque<User> users_;
  std::unordered_map<std::string, std::int64_t> submitted_;  // by job
  std::unordered_map<std::uint64_t, OnAnswer> asked_;
  std::uint64_t next_call_ = 1;
  std::int64_t began_ = 0, measured_from_ = 0, next_look_ = 0;
  double due_jobs_ = 0;
  std::int64_t last_submit_ = 0;
  std::size_t running_ = 0, running_most_ = 0, next_break_ = 0;
  std::uint64_t starts_before_ = 0, leases_before_cut_ = 0, leases_after_cut_ = 0;
  std::string last_leader_;
  Result result_;
  simulators::HostTraffic traffic_before_;
  std::uint64_t requests_before_ = 0, writes_before_ = 0;
  std::ofstream progress_, table_;
  std::function<bool()> interrupted_;
  std::uint64_t starts_looked_at_ = 0;
  double machines_seen_ = 0, looks_ = 0;  // of the measured time
};

}  // namespace hitchfront::scale
