// What one run of the cluster simulation plays: the deployment, the users' load, and which faults
// happen when. Times are milliseconds since the run's start.
#pragma once
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/effects.hpp"
#include "feature_level/feature_level.hpp"
#include "settings/platform.hpp"
#include "wire/peer.hpp"

namespace hitchfront::testing {

struct Scenario {
  // ---- the run and the deployment

  std::uint64_t seed = 1;
  std::int64_t run_ms = 150'000;     // users submit jobs and faults begin
  std::int64_t settle_ms = 200'000;  // then faults have ended, and every job has to end
  int nodes = 3;                     // controllers, "node-0" ...
  std::vector<std::string> zones = {"east", "west"};
  int scale = 1;          // times twenty machines, and the teams' guarantees and limits
  double loss = 0.001;    // share of messages that are lost once and sent again
  double write_rps = 80;  // the store's limit, as the settings give it
  std::int64_t heartbeat_ms = 2000;
  double lease_s = 12;
  double announced_lease_s = 0;    // what the controllers are told, where that is not so: a mutant
  std::int64_t restart_ms = 5000;  // from a process's end until it is back
  std::set<int> without_allocation_log;  // nodes whose leaders keep none, like an older version
  std::int64_t allocation_log_from = 0;  // and that do if they start from then on; 0: never
  std::set<int> no_users;                // nodes that the load balancer keeps users from
  // From then on the state service has the limits of `test_next_limits`; 0: never. The controllers
  // are told from the start.
  std::int64_t limits_fall_at = 0;
  bool hide_next_limits = false;  // that they are not told: a mutant

  // ---- jobs

  double jobs_per_s = 0.25;
  std::uint32_t tasks_most = 12;
  double min_run_s = 0;        // added to every task's run time
  double task_stagger_s = 0;   // and so much for each task of its job before it
  double large_job_cpus = 0;   // a tenth of the jobs have tasks of so many processors instead
  double bound_to_zone = 0.2;  // share of the jobs that are bound to the first zone
  double services = 0.05;      // share of the jobs
  double chains = 0;           // share that await one to three jobs accepted before, in any state
  double always_failing = 0;   // share whose tasks fail on every machine, until they are cancelled
  bool low_priority_only = false;      // all jobs of low priority, with tasks that save, anywhere
  double best_effort = 0;              // share of jobs of a team without guarantee and limit
  std::int64_t best_effort_until = 0;  // all jobs are theirs until then
  double best_effort_run_s = 0;        // run time of their tasks; 0: like the others'

  // ---- users

  double cancels = 0.15;                        // share of the arrays that their users cancel:
  std::int64_t cancel_from = 0, cancel_to = 0;  // in this time, or within 40 s of their submission
  double cancels_at_end = 0;  // share of jobs cancelled at the moment of their last task's end
  std::int64_t poll_storm_from = 0, poll_storm_to = 0;  // users poll eight times as often
  // Users ask at all nodes within milliseconds after accepted, ended and cancelled, and submit once
  // more; some cancel at once.
  std::int64_t query_burst_from = 0, query_burst_to = 0;
  // Users submit unfinished jobs again, cancel jobs that are done, and send jobs that fit no
  // machine or lack a field.
  std::int64_t invalid_requests_from = 0, invalid_requests_to = 0;

  // ---- the network; endpoints are "state", "cloud", "workers", "users", "*", or a name

  struct Cut {
    std::int64_t from, to;
    std::string a, b;
    bool hold;  // messages are held back and delivered afterwards; otherwise they are refused
  };
  std::vector<Cut> cuts;
  std::vector<Cut> zone_cuts;  // between a zone's machines and another zone's controllers
  // What a controller (a) says doesn't reach a machine (b: "tenth", "zone east", "*" or a name),
  // while its heartbeats arrive.
  std::vector<Cut> unreachable;
  // Machines (b) that reach no controller, while commands reach them and are answered.
  std::vector<Cut> outbound_cuts;
  // Machines lose the network for `ms` as soon as they have tasks and so many of their heartbeats
  // have been answered in this time. `share`: of all machines.
  struct CutAfterResponses {
    std::int64_t from, to;
    int responses = 1;
    std::int64_t ms = 0;
    double share = 1;
  };
  std::vector<CutAfterResponses> cuts_after_responses;
  // Share of workers' heartbeats of which a copy comes once more, to any controller, and the delays
  // of the copies.
  double duplicates = 0;
  std::int64_t duplicate_delay_min = 1000, duplicate_delay_max = 40'000;
  // Or kept until somebody else leads, and then delivered to all controllers.
  bool hold_duplicates_for_next_leader = false;
  double late_commands = 0;    // share of commands to machines that arrive as late as copies, and
                               // whose answers are lost
  double request_repeats = 0;  // share of users' and controllers' requests that are carried out
                               // twice, the second time as late as copies
  // Share of commands to machines that are executed and answered and of which a copy is delivered
  // later, with the delay of the other copies.
  double command_repeats = 0;
  // The same share of messages between controllers; a copy may reach the receiver's next process.
  double peer_message_repeats = 0;

  // Messages of this kind that controllers send to each other in this time arrive so much later, at
  // whichever process of the receiver runs then.
  struct LatePeerMessages {
    wire::PeerMessage::Kind kind;
    std::int64_t from, to, delay_ms;
  };
  std::vector<LatePeerMessages> late_peer_messages;

  // ---- the state service

  // It answers up to so much later, in this time.
  std::int64_t store_delay_ms = 0, store_delay_from = 0, store_delay_to = 0;
  double late_writes = 0;  // share of transactions without an answer, carried out 2 to 12 s later
  std::int64_t late_writes_from = 0, late_writes_to = 0;  // in this time
  bool first_write_is_late = false;                       // the first such one, whatever is drawn
  bool lose_only_answers = false;                         // carried out at once instead
  std::string late_write_prefix;                          // of those that write such a key

  // Answers to controllers' reads of the state service or the cloud whose path begins with `path`,
  // sent in this time, come so much later, or never.
  struct LateRead {
    static constexpr std::int64_t kLost = -1;
    std::string path;
    std::int64_t from, to, delay_ms;
  };
  std::vector<LateRead> late_reads;

  // Counts Observations::cancelled_starts_on_their_way and _launched_knowing (costs time).
  bool records_launches = false;

  // ---- faults

  // A process that ends takes its machine with it: the steady clock of the next one begins anew.
  bool restarts_steady_clocks = false;
  struct At {
    std::int64_t when;
    std::string what;  // see parse_fault() of fault.hpp
  };
  std::vector<At> events;
  // Happens so many ms after the first confirmed cancellation that a user hears of from then on;
  // "canceller" in `what` is the controller that confirmed it.
  struct AfterCancel {
    std::int64_t from, delay;
    std::string what;
  };
  std::vector<AfterCancel> after_cancel;
  // From then on a node runs a program of these levels: replaced at that moment, back five seconds
  // later. What is not named runs this program; one that announces nothing is of a version from
  // before levels.
  static constexpr unsigned kNoLevelLimit = 1000;
  struct Version {
    std::int64_t when;
    int node;
    feature_level::Support support;
    unsigned most = kNoLevelLimit;  // level_most
  };
  std::vector<Version> versions;
  // Changes what a node's controller wants done before it is carried out: a faulty controller that
  // the invariant checker has to catch.
  using Mutant = std::function<void(std::int64_t now, int node, core::Effects&)>;
  Mutant mutant;
  // Each process of a controller draws the same random numbers: a mutant.
  bool repeats_process_seeds = false;
};

// The zone of a controller: the zones in turn.
const std::string& zone_of_node(const Scenario& scenario, int node);

// The controller loses the state service and the other controllers, but not its workers and users.
void isolate_controller(Scenario& scenario, int node, std::int64_t from, std::int64_t to,
                        bool hold);

settings::Platform test_platform(int nodes, const std::vector<std::string>& zones);

// The smallest limits that the operators announced. (Half a KiB for each value would not hold a
// description.)
settings::StoreLimits test_next_limits(settings::StoreLimits today);

}  // namespace hitchfront::testing
