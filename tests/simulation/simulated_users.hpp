// The users of a simulation: they submit jobs, poll and cancel them at any controller, and report
// every answer to the invariant checker.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "simulation/controller_cluster.hpp"
#include "simulation/simulated_network.hpp"
#include "simulation/simulation_context.hpp"

namespace hitchfront::testing {

class SimulatedUsers {
 public:
  // One job, as its user sees it.
  struct User {
    std::string id;
    wire::Job spec;
    std::int64_t next_at = 0;  // of the next request
    std::int64_t submitted_at = 0;
    std::int64_t cancel_at = 0;  // 0: never
    bool accepted = false;
    bool over = false;     // the user knows that it is done or cancelled
    bool waiting = false;  // for an answer
  };
  // A user was answered by this controller that a job is cancelled.
  using OnCancelConfirmed = std::function<void(const std::string& controller)>;

  SimulatedUsers(SimulationContext& context, SimulatedNetwork& network,
                 ControllerCluster& controllers);
  void set_cancel_confirmed(OnCancelConfirmed hook) { cancel_confirmed_ = std::move(hook); }

  // Users submit what is due, and each sends its next request.
  void act();
  // See Scenario::invalid_requests_from.
  void send_invalid_requests();
  // The job's last task may have ended: see Scenario::cancels_at_end.
  void task_done(const std::string& id);
  // Cancels so many of the jobs that run, within a fifth of a second; returns the machines that
  // they run on, at most `max_machines`.
  std::set<std::string> cancel_running(int jobs, std::size_t max_machines);

  const std::vector<User>& all() const { return users_; }
  // Accepted jobs of which no user knows an end.
  std::vector<std::string> unfinished() const;

 private:
  using OnAnswer = ControllerCluster::OnAnswer;

  void submit_new_job();
  wire::Job draw_job();
  void draw_placement(wire::Job& job);
  std::int64_t draw_cancel_time(const wire::Job& job);
  std::vector<std::string> draw_awaited();
  int steps_before(const std::string& id) const;
  void submit_with_unknown_dependency(const wire::Job& like);

  void act_for(std::size_t user);
  void submit(std::size_t user, SimulatedController& to, bool invalid_retry);
  void cancel(std::size_t user, SimulatedController& to);
  void poll(std::size_t user, SimulatedController& to);
  void send_twice_sometimes(SimulatedController& to, const std::string& path,
                            const std::string& body);
  void finish(std::size_t user);
  // See Scenario::query_burst_from.
  void burst_of_queries(std::size_t user);
  void send_invalid_submission(SimulatedController& to, const wire::Job& like);
  bool in_poll_storm() const;

  SimulationContext& context_;
  SimulatedNetwork& network_;
  ControllerCluster& controllers_;
  OnCancelConfirmed cancel_confirmed_;
  std::vector<User> users_;
  std::int64_t next_job_at_ = 0;
  std::int64_t next_invalid_at_ = 0;
  int next_id_ = 1;
};

}  // namespace hitchfront::testing
