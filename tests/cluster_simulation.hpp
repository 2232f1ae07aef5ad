// A seeded world in one process: real controllers against simulators for store, cloud, workers and
// users, over a network that delays, cuts and holds messages. A plain model of the rules watches.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "simulators/cloud.hpp"
#include "simulators/store.hpp"
#include "simulators/worker.hpp"

namespace hitchfront::testing {

// The rules of the protocol, checked slowly and plainly against what really happens.
class InvariantChecker {
 public:
  struct Job {
    wire::Job spec;
    bool mistaken = false;
    std::size_t failures = 0;  // of its tasks
    bool submitted = false, accepted = false, acknowledged_done = false,
         acknowledged_cancelled = false, cancel_asked = false;
    std::int64_t cancelled_at = 0;
    std::int64_t final_at = 0;  // when it was first called done or cancelled
    std::int64_t accepted_at = 0, answered_at = 0, began_at = -1;  // its first task
    std::int64_t starving_since =
        -1;                        // it waits, and since then there has been capacity that fits,
    std::set<std::string> beside;  // on these machines all the time
    std::set<std::uint32_t> done;
    std::int64_t done_at = -1;  // its last task
  };
  std::map<std::string, Job> jobs;
  // Its user has asked to cancel it, or one that it needs.
  bool is_called_off(const std::string& id) const;
  // When a user was first told that one that it needs is cancelled; none: never.
  std::optional<std::int64_t> needs_cancelled_at(const std::string& id) const;
  bool waits_for_others(const std::string& id) const;
  // A submission that names a job which nobody accepted.
  void unknown_awaited_answer(const std::string& id, int status);
  std::map<std::string, double> team_limit;
  std::int64_t cancel_ms = 0;
  std::set<std::string> broken;   // names of the rules broken
  std::vector<std::string> what;  // how
  std::size_t started = 0;
  std::size_t started_cancelled =
      0;  // tasks that started after a user was told that their job is cancelled

  void start(std::int64_t now, const simulators::Worker::Place& place, const std::string& id,
             std::uint32_t task);
  void leave(const simulators::Worker::Place& place, const std::string& id, std::uint32_t task);
  void done(std::int64_t now, const std::string& id, std::uint32_t task);
  void tick(std::int64_t now);
  double used(const std::string& team) const;  // processors, by tasks that run
  bool is_on(const std::string& id, std::uint32_t task) const { return on_.contains({id, task}); }
  std::vector<std::string> machines_of(const std::string& id) const;
  // A request as if its job could not be run, or lacked a field: not to be accepted.
  void odd_answer(const std::string& request, int status);
  // A job waits while its team is under its limit, and these machines have capacity that fits, as
  // of now. One of them for 90 s on end: a failed day.
  static constexpr std::int64_t kStarvedMs = 90'000;
  void note_starving(std::int64_t now, const std::string& id,
                     const std::set<std::string>& free_capacity);
  void submitted_answer(std::int64_t now, const std::string& id, int status);
  // What was asked before a user was told something newer may be answered later.
  void polled(std::int64_t now, std::int64_t asked, const std::string& id, int status,
              const std::string& state);
  // Troubles are over since `quiet`: accepted jobs, not cancelled, of which nobody has answered a
  // question for 75 s. Each job for itself, however the others fare.
  static constexpr std::int64_t kForgottenMs = 75'000;
  void look_for_forgotten(std::int64_t now, std::int64_t quiet);
  void cancelled(std::int64_t now, std::int64_t asked, const std::string& id, int status,
                 const std::string& state);
  void violation(const char* rule, const std::string& how);

 private:
  bool needs(const std::string& id, const std::function<bool(const Job&)>& what) const;
  void final_state(std::int64_t now, std::int64_t asked, const std::string& id,
                   const std::string& state);
  using TaskId = std::pair<std::string, std::uint32_t>;
  std::map<TaskId, std::vector<simulators::Worker::Place>> on_;
  std::map<std::string, double> used_;  // processors, by team
};

struct Scenario {
  std::uint64_t seed = 1;
  std::int64_t run_ms = 150'000;
  std::int64_t settle_ms = 200'000;  // then all is mended, and every job has to end
  int nodes = 3;
  std::vector<std::string> zones = {"east", "west"};
  double jobs_per_s = 0.25;
  std::uint32_t tasks_most = 12;
  int scale = 1;  // times twenty machines, and the teams' guarantees and limits
  // What breaks and when; names are "state", "cloud", "workers", "node-0" ...
  struct Cut {
    std::int64_t from, to;
    std::string a, b;
    bool hold;
  };
  std::vector<Cut> cuts;
  std::vector<Cut> zone_cuts;  // between a zone's machines and another zone's controllers
  // What a controller (a) says doesn't reach a machine (b; "zone east": those of a zone), while its
  // heartbeats arrive.
  std::vector<Cut> unreachable;
  std::vector<Cut> outbound_cuts;  // machines (b) that reach no controller, while commands reach
                                   // them and are answered
  // Share of workers' heartbeats of which a copy comes once more, to any controller, and the delays
  // of the copies.
  double duplicates = 0;
  std::int64_t duplicate_delay_min = 1000, duplicate_delay_max = 40'000;
  bool duplicates_for_next =
      false;  // or kept until somebody else leads, and then said to all controllers
  double late_commands =
      0;  // share of commands to machines whose answer is lost, and that arrive as late as copies
  double repeats = 0;  // share of users' and controllers' requests that are carried out twice, the
                       // second time as late as copies
  struct At {
    std::int64_t when;
    std::string
        what;  // crash node-0 | crash leader | crash a follower | freeze leader 8000 | refuse
               // leader 14000 (by the store alone, so many ms) | alone leader 40000 | back 20000
               // (the store, so many ms) | lose-all | hang | hang 100 | unhang | take | outage |
               // mend | cloud-out | cloud-mend | cancel 5 (so many jobs that run) | cancel 5 15000
               // (and their machines, eight at the most, hang so many ms)
  };
  std::vector<At> events;
  // Happens so many ms after the first confirmed cancellation that a user hears of from then on;
  // "canceller" in `what` is the controller that confirmed it.
  struct AfterCancel {
    std::int64_t from, delay;
    std::string what;
  };
  std::vector<AfterCancel> after_cancel;
  double cancels = 0.15;  // share of the arrays that their users cancel, some time after they came:
  std::int64_t cancel_from = 0, cancel_to = 0;  // in this time, where it is given
  double run_least_s = 0;                       // added to every task's run time
  double far_apart_s = 0;                       // and so much for each task of its job before it
  std::int64_t slow_ms = 0, slow_from = 0,
               slow_to = 0;  // the state service answers up to so much later, in this time
  double late_writes =
      0;  // share of transactions that get no answer and are carried out 2 to 12 s later
  std::int64_t late_writes_from = 0, late_writes_to = 0;  // in this time
  bool late_at_once = false;                  // carried out at once: only the answer is lost
  std::string late_only;                      // of those that write a key with this prefix
  std::int64_t storm_from = 0, storm_to = 0;  // users poll eight times as often
  double cancels_at_end =
      0;  // share of the jobs that are cancelled at the moment of their last task's end
  // Users ask at all nodes within milliseconds after accepted, ended and cancelled, and submit once
  // more; some cancel at once.
  std::int64_t looks_from = 0, looks_to = 0;
  // Users submit unfinished jobs again, cancel jobs that are done, and send jobs that fit no
  // machine or lack a field.
  std::int64_t odd_from = 0, odd_to = 0;
  double chains =
      0;  // share of the jobs that await one to three of those accepted before, in whatever state
  // From then on the state service has the limits of `test_next_limits`; 0: never. The controllers
  // are told from the start.
  std::int64_t limits_fall_at = 0;
  bool untold_limits = false;  // that they are not told: a mutant
  double bound_to_zone = 0.2;  // share of the jobs that are bound to the first zone
  double loss = 0.001;
  double write_rps = 80;  // the store's limit, as the settings give it
  std::int64_t heartbeat_ms = 2000;
  double lease_s = 12;
  double announced_lease_s = 0;  // what the controllers are told, where that is not so: a mutant
  double services = 0.05;        // share of jobs
  double best_effort = 0;        // share of jobs of a team without guarantee and limit
  std::int64_t best_effort_until = 0;  // all jobs are theirs until then
  double best_effort_run_s = 0;        // run time of their tasks; 0: like the others'
  bool plain_low = false;              // all jobs of low priority, with tasks that save, anywhere
  double mistaken =
      0;  // share of jobs whose tasks fail on every machine, until their users cancel them
  // From then on a node runs a program of these levels: replaced at that moment, back five seconds
  // later. What is not named runs this program; one that announces nothing is of a version from
  // before levels.
  struct Version {
    std::int64_t when;
    int node;
    feature_level::Support support;
    unsigned most = 1000;  // level_most
  };
  std::vector<Version> versions;
  double large_job_cpus = 0;       // a tenth of the jobs have tasks of so many processors instead
  std::set<int> no_users;          // nodes that the load balancer keeps users from
  std::int64_t restart_ms = 5000;  // from a process's end until it is back
  std::set<int> without_allocation_log;  // nodes whose leaders keep none, like an older version
  std::int64_t allocation_log_from = 0;  // and that do if they start from then on; 0: never
  // Changes a node's answers on their way out: a mutant.
  std::function<void(std::int64_t now, int node, core::Effects&)> mutant;
};

// The controller loses the state service and the other controllers, but not its workers and users.
void alone(Scenario& s, int node, std::int64_t from, std::int64_t to, bool hold);

// A scenario with three to nine troubles drawn from all kinds, alone or overlapping.
Scenario random_scenario(std::uint64_t seed);

// Two or three troubles of any kind that begin within two seconds of each other, at two moments of
// the day, while users cancel.
Scenario meeting_scenario(std::uint64_t seed);

class ClusterSimulation {
 public:
  explicit ClusterSimulation(Scenario scenario);
  ~ClusterSimulation();
  void run();
  InvariantChecker checker;
  std::size_t finished = 0, accepted = 0;  // jobs
  std::size_t leases_lost = 0;             // workers' incarnations that ended with their lease
  std::size_t busy_returned = 0;           // machines returned with tasks on them
  std::vector<std::string> unfinished() const;
  // Classes and teams of which fewer than half of the jobs that were accepted and not cancelled are
  // done.
  std::vector<std::string> unserved() const;
  // Of those, the largest of each class (a tenth of its jobs, and one at the least, by the
  // processors that a job asks for): "class alpha's largest".
  std::vector<std::string> large_jobs() const;
  std::vector<std::string> late_to_begin(std::int64_t most_ms) const;  // of the largest
  std::size_t answered(const std::string& node,
                       int status) const;                // requests so answered, of anybody
  std::size_t direct_commands = 0, direct_launches = 0;  // requests, and launches in them
  std::size_t too_large() const {
    return store_.too_large;
  }                             // transactions that the state service refused for its limits
  std::size_t late_writes = 0;  // transactions whose answer was lost
  std::size_t unanswered =
      0;  // requests that a running controller let wait until whoever asked gave up
  std::vector<std::string> log;
  std::int64_t now() const { return now_; }
  core::Controller* leader();
  // What the leader answers at once to a request of this moment; status 0: it doesn't yet.
  core::HttpReply ask_leader(core::Method method, const std::string& path, const std::string& body);
  std::size_t machines_most = 0;
  wire::FeatureLevel level() const;                      // as stored
  std::string stored(const std::string& key) const;      // as JSON; empty: nothing
  std::size_t written(const std::string& prefix) const;  // puts and deletes of such keys
  const settings::Platform& platform() const { return platform_; }
  std::map<std::int64_t, std::size_t> launches_by_second;  // tasks that started
  std::set<std::string> faulty() const { return faulty_; }

 private:
  struct Node {
    int index = 0;
    std::string name;
    std::unique_ptr<core::Controller> core;
    feature_level::Support support;
    unsigned most = 1000;
    std::uint64_t process = 0;  // counts processes
    double rate = 1;            // of its steady clock
    std::int64_t offset = 0;
    std::map<std::uint64_t, std::function<void(const core::HttpReply&)>> requests;
    std::map<int, std::size_t> answered;  // by status
    std::uint64_t next_request = 1;
    std::int64_t next_tick = 0, restart_at = 0, frozen_until = 0;
    std::int64_t refused_until = 0;  // by the store alone
  };
  struct User {
    std::string id;
    wire::Job spec;
    std::int64_t next = 0, born = 0, cancel_at = 0;
    bool accepted = false, over = false, cancelling = false, waiting = false;
  };

  void at(std::int64_t when, std::function<void()> what);
  std::int64_t steady(const Node& n) const;
  void start(Node& n);
  void crash(Node& n);
  void flush(Node& n);
  void call(Node& n, core::HttpCall c);
  // Sends a message over a link; `lost` is called when it can never arrive.
  void send(const std::string& from, const std::string& to, std::function<void()> deliver,
            std::function<void()> lost);
  void check_levels();
  // Once the node runs again, if it is frozen.
  void awake(Node& n, std::function<void()> what);
  const Scenario::Cut* cut(const std::string& a, const std::string& b) const;
  void request(Node& n, const std::string& from, core::Method method, const std::string& path,
               const std::string& body, std::function<void(int, const std::string&)> done,
               std::int64_t timeout);
  // A copy of what was sent, carried out once more; whoever sent it has its answer from elsewhere.
  void once_more(double share, std::function<void()> what);
  bool is_unreachable(const std::string& node, const std::string& worker) const;
  std::int64_t quiet_at() const;  // the last trouble is over
  void users_act();
  void workers_act();
  void event(const std::string& what);
  void confirmed(const std::string& node);  // a cancellation, to its user
  bool cannot_send(const std::string& worker) const;
  void look_closely(std::size_t user);
  std::vector<std::string> draw_awaited();
  int steps_before(const std::string& id) const;
  void name_an_unknown_job(const wire::Job& like);
  void ask_oddly();
  void cancel_running(int jobs, std::int64_t hang_ms);
  void hang(simulators::Worker& w, std::int64_t ms);
  void look_for_starved();
  bool matches(const std::string& pattern, const std::string& worker) const;
  void deliver_kept_heartbeats();
  double run_s(const std::string& id, std::uint32_t task) const;
  Node* find(const std::string& name);

  Scenario s_;
  std::mt19937_64 random_;
  std::int64_t now_ = 0;
  struct Event {
    std::int64_t when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Event& o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  settings::Platform platform_;
  simulators::Store store_;
  std::unique_ptr<simulators::Cloud> cloud_;
  std::map<std::string, std::unique_ptr<simulators::Worker>> workers_;
  std::vector<std::unique_ptr<Node>> nodes_;
  bool lost_store_ = false;  // it has lost something in this run: what stands there may be older
                             // than anybody's level
  std::map<std::int64_t, std::shared_ptr<const simulators::Store::Kept>>
      kept_;  // by the moment when it is put back
  std::map<std::string, std::int64_t>
      unsupported_since_;         // node -> ms it has led without supporting the stored level
  std::set<std::string> faulty_;  // machines on which every task fails
  std::vector<User> users_;
  std::int64_t next_job_ = 0;
  int next_id_ = 1;
  std::set<std::size_t> after_cancel_begun_;
  std::vector<std::pair<std::string, std::string>> kept_heartbeats_;  // machine, body
  std::int64_t next_odd_ = 0;
  std::set<std::string> elected_;             // terms
  std::map<std::string, std::string> hires_;  // names of rentals, and the process that used each
};

// Takes out of all that a controller says to machines the launches for which `unwanted` is true: a
// mutant.
void drop_launches(core::Effects& e, const std::function<bool(const std::string& job)>& unwanted);

// The first few rules that the world's judge saw broken, a line each.
std::string report(const ClusterSimulation& w);

// Half a KiB for each value would not hold a description; the smallest that the operators
// announced.
settings::StoreLimits test_next_limits(settings::StoreLimits today);

settings::Platform test_platform(int nodes, const std::vector<std::string>& zones);

}  // namespace hitchfront::testing
