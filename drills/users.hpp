// The users of a drill: they submit jobs, poll and cancel them by way of healthy controllers, and
// report every answer to the invariant checker and the history.
#pragma once
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "drills/controllers.hpp"
#include "drills/history.hpp"
#include "drills/plan.hpp"
#include "tests/simulation/invariant_checker.hpp"
#include "tests/simulation/job_requests.hpp"

namespace hitchfront::drills {

class Users {
 public:
  // What they have seen so far.
  struct Totals {
    std::size_t accepted = 0, finished = 0;           // jobs
    std::size_t good_answers = 0, other_answers = 0;  // 2xx, and anything else
    std::int64_t last_refused_at = 0;
    // Violations by what the plan's loss-unaware build alone answered, see docs/drills.md.
    std::size_t excused_violations = 0;
    // Jobs that such a controller accepted right before a loss: nobody else knew of them.
    std::size_t lost_jobs = 0;
  };

  Users(const Plan& plan, std::uint64_t seed, Controllers& controllers,
        testing::InvariantChecker& checker, History& history);

  // They submit what is due, and each sends its next request.
  void act();
  // The state service has lost something at this moment.
  void store_lost();
  // Every accepted job has ended, as far as its user knows.
  bool all_over() const;
  Totals totals() const;

 private:
  struct User {
    std::string id;
    std::string body;
    std::int64_t next_at = 0;
    std::int64_t submitted_at = 0;
    std::int64_t cancel_at = 0;  // 0: never
    bool accepted = false, over = false, waiting = false;
    std::int64_t accepted_at = 0;
    bool accepted_by_loss_unaware = false;
  };
  // Who gave an answer.
  struct Answerer {
    std::string name = "nobody";  // and build
    bool loss_unaware = false;
  };
  struct Answer : testing::JobAnswer {
    Answerer by;
  };
  using OnAnswer = std::function<void(User& user, const Answer& answer)>;

  void submit_new_job();
  void act_for(std::size_t user);
  void submit(std::size_t user);
  void cancel(std::size_t user);
  void poll(std::size_t user);
  // `done` reports the answer to the checker.
  void request(std::size_t user, const char* kind, core::Method method, const std::string& path,
               const std::string& body, OnAnswer done);
  void answered(std::size_t user, const char* kind, const Answer& answer, const OnAnswer& done);
  // Whether violations by this answer are the loss-unaware build's alone.
  bool is_excused(const User& user, const Answerer& by) const;

  const Plan& plan_;
  std::mt19937_64 random_;
  Controllers& controllers_;
  testing::InvariantChecker& checker_;
  History& history_;
  std::vector<User> users_;
  std::int64_t next_job_at_;
  std::int64_t lost_at_;
  std::set<std::string> lost_jobs_;
  Totals totals_;
};

}  // namespace hitchfront::drills
