// The users of a scale run: they submit jobs at the options' rate, cancel some, poll all until
// they have ended, and report every answer to the invariant checker.
#pragma once
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>

#include "scale/controllers.hpp"
#include "scale/options.hpp"
#include "scale/result.hpp"
#include "simulators/clock.hpp"
#include "tests/simulation/invariant_checker.hpp"

namespace hitchfront::scale {

class Users {
 public:
  struct Totals {
    std::uint64_t jobs = 0, accepted = 0, done = 0;
    std::uint64_t refused = 0;  // requests
    Times accept_times;
  };

  Users(const Options& options, Controllers& controllers, testing::InvariantChecker& checker,
        std::mt19937_64& random, const simulators::Stopwatch& clock);

  // Before the run: as many tasks as run at any moment.
  void fill_fleet();
  // They submit what is due, and each sends its next request.
  void act();
  // Every accepted job has ended, as far as its user knows.
  bool all_over() const;
  // When a job came; 0: it was there at the start.
  std::int64_t submitted_at(const std::string& job) const { return submitted_at_.at(job); }
  const Totals& totals() const { return totals_; }

 private:
  struct User {
    std::string id, body;
    std::int64_t submitted_at = 0, next_at = 0;
    std::int64_t cancel_at = 0;  // 0: never
    bool waiting = false, accepted = false, cancelled = false, over = false;
  };
  using OnAnswer = std::function<void(User& user, int status, const std::string& body)>;

  void submit_due_jobs();
  void add_job(bool urgent, int tasks);
  void act_for(std::size_t user);
  void submit(std::size_t user);
  void cancel(std::size_t user);
  void poll(std::size_t user);
  // At any controller; `next_ms` after its answer the user acts again.
  void request(std::size_t user, core::Method method, const std::string& path,
               const std::string& body, std::int64_t next_ms, OnAnswer done);
  bool chance(double probability);

  Options options_;
  Controllers& controllers_;
  testing::InvariantChecker& checker_;
  std::mt19937_64& random_;
  const simulators::Stopwatch& clock_;  // since the run's start, as all times here
  std::deque<User> users_;
  std::unordered_map<std::string, std::int64_t> submitted_at_;
  double due_jobs_ = 0;
  std::int64_t last_submission_at_ = 0;
  Totals totals_;
};

}  // namespace hitchfront::scale
