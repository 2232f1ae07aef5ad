// One scale run: starts the controllers, simulates machines, state service, cloud and users in this
// process, breaks what the options ask for, and measures. Everything listens on loopback, and
// everything that was started is ended with it.
#pragma once
#include <event2/event.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "scale/controllers.hpp"
#include "scale/failures.hpp"
#include "scale/options.hpp"
#include "scale/progress.hpp"
#include "scale/result.hpp"
#include "scale/users.hpp"
#include "simulators/clock.hpp"
#include "simulators/host.hpp"
#include "tests/simulation/invariant_checker.hpp"

namespace hitchfront::scale {

class Run {
 public:
  explicit Run(Options options);
  ~Run();
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;
  // Until it is over, or `interrupted` says so.
  Result play(std::function<bool()> interrupted);

 private:
  struct FreeBase {
    void operator()(event_base* base) const { event_base_free(base); }
  };

  std::unique_ptr<simulators::Host> make_host();
  void watch_machines();
  void order_machines();
  void tick();
  bool is_over() const;
  double task_run_s(const std::string& job);
  Progress::Counts counts() const;
  Result result() const;

  Options options_;
  Deployment deployment_;
  std::mt19937_64 random_;
  simulators::Stopwatch clock_;
  testing::InvariantChecker checker_;
  std::unique_ptr<event_base, FreeBase> base_;
  Controllers controllers_;
  Users users_;
  std::unique_ptr<simulators::Host> host_;
  Failures failures_;
  Progress progress_;
  std::function<bool()> interrupted_;
  std::int64_t next_check_at_ = 0;
  std::uint64_t starts_ = 0;                    // of tasks
  std::size_t running_ = 0, running_most_ = 0;  // tasks
  std::map<std::string, Times> start_times_;    // by priority, of the measured time
};

}  // namespace hitchfront::scale
