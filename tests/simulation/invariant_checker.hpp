// Checks the protocol's invariants against what users and machines observe.
//
// The checker is deliberately slow and plain: it shares no code with the service and keeps a model
// of every job. Whoever drives the controllers (the cluster simulation, the drills, the scale run)
// reports each submission, poll, cancellation, task start and task end as it is observed. Times are
// milliseconds of the driver's clock. Not thread-safe: called from the driver's thread alone.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulators/worker.hpp"
#include "wire/job.hpp"

namespace hitchfront::testing {

class InvariantChecker {
 public:
  // What has been observed of one job.
  struct Job {
    wire::Job spec;
    bool always_fails = false;  // its tasks fail on every machine
    std::size_t failures = 0;   // of its tasks
    bool submitted = false;
    bool accepted = false;
    bool acknowledged_done = false;       // a user was answered that it is done
    bool acknowledged_cancelled = false;  // a user was answered that it is cancelled
    bool cancel_asked = false;
    std::int64_t cancelled_at = 0;  // when that cancellation was first acknowledged
    std::int64_t final_at = 0;      // when it was first called done or cancelled
    std::int64_t accepted_at = 0;
    std::int64_t answered_at = 0;  // the last answer to any request about it
    std::int64_t began_at = -1;    // start of its first task; -1: none has started
    std::set<std::uint32_t> done;  // tasks
    std::int64_t done_at = -1;     // end of its last task; -1: not all are done
    // It has waited since `starving_since` while each of these machines had capacity that fits.
    std::int64_t starving_since = -1;
    std::set<std::string> starving_beside;
  };

  // A job waits while its team is below its limit and the same machine has fitting capacity for
  // longer than this: the rule "neglected" is broken.
  static constexpr std::int64_t kStarvedMs = 90'000;
  // An accepted job about which nobody gets an answer for longer than this, once faults are over,
  // breaks the rule "forgotten".
  static constexpr std::int64_t kForgottenMs = 75'000;

  // ---- the model, filled in by the driver before the first observation

  std::map<std::string, Job> jobs;           // by id
  std::map<std::string, double> team_limit;  // processors
  std::int64_t cancel_ms = 0;  // within which tasks of a cancelled job have to be gone

  // ---- the verdict

  std::set<std::string> broken;   // names of the rules broken
  std::vector<std::string> what;  // each violation: the rule and the circumstances
  std::size_t started = 0;        // tasks
  // Tasks that started after a user was answered that their job is cancelled.
  std::size_t started_cancelled = 0;

  // Records that a rule is broken.
  void violation(const char* rule, const std::string& how);

  // ---- observations on the machines

  void start(std::int64_t now, const simulators::Worker::Place& place, const std::string& id,
             std::uint32_t task);
  void leave(const simulators::Worker::Place& place, const std::string& id, std::uint32_t task);
  void done(std::int64_t now, const std::string& id, std::uint32_t task);

  // ---- answers to users; `asked` is when the request was sent, since what was asked before a
  // user got a newer answer may be answered later

  void submitted_answer(std::int64_t now, const std::string& id, int status);
  void polled(std::int64_t now, std::int64_t asked, const std::string& id, int status,
              const std::string& state);
  void cancelled(std::int64_t now, std::int64_t asked, const std::string& id, int status,
                 const std::string& state);
  // To a submission that names a job which nobody accepted.
  void unknown_awaited_answer(const std::string& id, int status);
  // To a submission of a job that cannot run or lacks a field: it must not be accepted.
  void invalid_submission_answer(const std::string& request, int status);

  // ---- checks that the driver runs from time to time

  // Tasks of cancelled jobs that still run.
  void tick(std::int64_t now);
  // The job waits, and these machines have fitting capacity as of now; see kStarvedMs.
  void note_starving(std::int64_t now, const std::string& id,
                     const std::set<std::string>& free_capacity);
  // Faults are over since `quiet`; see kForgottenMs. Each job for itself, however others fare.
  void check_forgotten(std::int64_t now, std::int64_t quiet);

  // ---- what the model says

  // Its user has asked to cancel it, or one that it needs.
  bool is_called_off(const std::string& id) const;
  bool waits_for_others(const std::string& id) const;
  double used(const std::string& team) const;  // processors, by tasks that run
  bool is_on(const std::string& id, std::uint32_t task) const { return on_.contains({id, task}); }
  std::vector<std::string> machines_of(const std::string& id) const;

 private:
  using TaskId = std::pair<std::string, std::uint32_t>;

  void check_placement(const simulators::Worker::Place& place, const std::string& id,
                       const std::string& name);
  // Whether a job that it awaits, directly or through others, matches.
  bool needs(const std::string& id, const std::function<bool(const Job&)>& matches) const;
  // When a user was first told that one that it needs is cancelled; none: never.
  std::optional<std::int64_t> needs_cancelled_at(const std::string& id) const;
  void final_state(std::int64_t now, std::int64_t asked, const std::string& id,
                   const std::string& state);

  std::map<TaskId, std::vector<simulators::Worker::Place>> on_;
  std::map<std::string, double> used_;  // processors, by team
};

}  // namespace hitchfront::testing
