// The order of the draws, and of the kinds of faults, is part of a seed's meaning: what is new goes
// to the end.
#include <iterator>

#include "simulation/scenario_generator.hpp"
#include "simulation/seeded_random.hpp"

namespace hitchfront::testing {
namespace {

class OverlappingFaults {
 public:
  explicit OverlappingFaults(std::uint64_t seed) : random_(seed * 7919 + 3) { s_.seed = seed; }

  Scenario draw() {
    draw_deployment();
    s_.run_ms = 170'000;
    s_.settle_ms = 700'000;
    const std::int64_t first = number(45'000, 60'000), second = first + number(50'000, 70'000);
    s_.cancel_from = number(0, 1) == 0 ? first - 2000 : second - 2000;
    s_.cancel_to = s_.cancel_from + number(3'000, 25'000);
    for (const auto moment : {first, second})
      for (auto faults = number(2, 3); faults > 0; --faults) draw_fault(moment);
    add(second + 50'500, "mend");
    if (number(0, 1) == 0) s_.chains = tenths(2, 8);
    if (number(0, 1) == 0) s_.limits_fall_at = number(1'000, s_.run_ms);
    for (const auto moment : {first, second}) draw_late_peer_messages(moment);
    draw_repeats();
    return s_;
  }

 private:
  // What every fault of one moment has drawn, whether it needs it or not.
  struct Draw {
    std::int64_t when;
    int node;
    std::string name;  // of the node
    bool hold;         // one of two kinds: a cut holds messages back, or refuses them
  };

  std::int64_t number(std::int64_t low, std::int64_t high) { return random_.between(low, high); }
  double tenths(std::int64_t low, std::int64_t high) {
    return 0.1 * static_cast<double>(number(low, high));
  }
  void add(std::int64_t when, const std::string& what) { s_.events.push_back({when, what}); }

  void draw_deployment() {
    s_.nodes = number(0, 1) == 0 ? 3 : 5;
    if (number(0, 2) == 0) s_.zones = {"only"};
    s_.services = 0;
    const std::int64_t restarts[] = {50, 300, 1000, 5000};
    s_.restart_ms = restarts[number(0, 3)];
    s_.tasks_most = number(0, 1) == 0 ? 3 : 12;
    const double runs[] = {0, 0, 30, 60};
    s_.min_run_s = runs[number(0, 3)];
    if (s_.min_run_s > 0) s_.scale = 3;  // there is time for all that comes
    if (number(0, 2) == 0) {             // heartbeats far apart: launches go to machines directly
      s_.heartbeat_ms = 6000;
      s_.lease_s = 27;
    }
    s_.cancels = tenths(1, 6);
  }

  void draw_fault(std::int64_t moment) {
    Draw d;
    d.when = moment + number(0, 2000);
    d.node = static_cast<int>(number(0, s_.nodes - 1));
    d.name = "node-" + std::to_string(d.node);
    d.hold = number(0, 1) == 0;
    using Kind = void (OverlappingFaults::*)(const Draw&);
    static constexpr Kind kKinds[] = {
        &OverlappingFaults::refused_leader,       &OverlappingFaults::store_outage,
        &OverlappingFaults::leader_crash,         &OverlappingFaults::two_leader_crashes,
        &OverlappingFaults::crash_of_all,         &OverlappingFaults::follower_crash,
        &OverlappingFaults::frozen_leader,        &OverlappingFaults::isolated_controller,
        &OverlappingFaults::cut_from_workers,     &OverlappingFaults::cut_from_a_controller,
        &OverlappingFaults::unreachable_machines, &OverlappingFaults::late_writes,
        &OverlappingFaults::duplicates,           &OverlappingFaults::hanging_machines,
        &OverlappingFaults::cancelled_jobs,       &OverlappingFaults::machines_that_cannot_send,
        &OverlappingFaults::cancels_at_end,       &OverlappingFaults::lost_answers,
        &OverlappingFaults::held_duplicates,      &OverlappingFaults::query_burst,
        &OverlappingFaults::invalid_requests,     &OverlappingFaults::leaders_crash_on_and_on,
        &OverlappingFaults::canceller_fault};
    const auto kind = number(0, static_cast<std::int64_t>(std::size(kKinds)) - 1);
    (this->*kKinds[kind])(d);
  }

  // ---- controllers

  void refused_leader(const Draw& d) {
    add(d.when, "refuse leader " + std::to_string(number(1'000, 20'000)));
  }
  void leader_crash(const Draw& d) { add(d.when, "crash leader"); }
  void two_leader_crashes(const Draw& d) {
    add(d.when, "crash leader");
    add(d.when + number(50, 900), "crash leader");
  }
  void crash_of_all(const Draw& d) { add(d.when, "crash all"); }
  void follower_crash(const Draw& d) { add(d.when, "crash a follower"); }
  void frozen_leader(const Draw& d) {
    add(d.when, "freeze leader " + std::to_string(number(500, 25'000)));
  }
  void leaders_crash_on_and_on(const Draw& d) {
    for (auto t = d.when; t < d.when + 30'000; t += number(3'000, 12'000)) add(t, "crash leader");
  }
  void canceller_fault(const Draw& d) {
    s_.after_cancel.push_back(
        {d.when, number(0, 500), number(0, 1) == 0 ? "crash canceller" : "refuse canceller 8000"});
  }

  // ---- the network

  void isolated_controller(const Draw& d) {
    isolate_controller(s_, d.node, d.when, d.when + number(2'000, 40'000), d.hold);
  }
  void cut_from_workers(const Draw& d) {
    s_.cuts.push_back({d.when, d.when + number(2'000, 40'000), d.name, "workers", d.hold});
  }
  void cut_from_a_controller(const Draw& d) {
    s_.cuts.push_back({d.when, d.when + number(2'000, 40'000), d.name,
                       "node-" + std::to_string((d.node + 1) % s_.nodes), d.hold});
  }
  void unreachable_machines(const Draw& d) {
    const std::string whom[] = {"tenth", "zone " + s_.zones.front(), "n-000003"};
    s_.unreachable.push_back({d.when, d.when + number(5'000, 60'000),
                              number(0, 1) == 0 ? d.name : "*", whom[number(0, 2)], false});
  }
  void machines_that_cannot_send(const Draw& d) {
    const std::string whom[] = {"tenth", "zone " + s_.zones.front(), "*"};
    s_.outbound_cuts.push_back(
        {d.when, d.when + number(5'000, 45'000), "", whom[number(0, 2)], false});
  }
  void duplicates(const Draw& d) {
    s_.duplicates = 0.3;
    s_.duplicate_delay_min = 2'000;
    s_.duplicate_delay_max = 40'000;
    if (d.hold) s_.late_commands = 0.3;
  }
  void held_duplicates(const Draw& d) {
    s_.duplicates = 0.3;
    s_.hold_duplicates_for_next_leader = true;
    add(d.when + number(0, 20'000), "crash leader");
  }

  // Responses of one kind arrive late, by less or by more than it takes until a process is back.
  void draw_late_peer_messages(std::int64_t moment) {
    using Kind = wire::PeerMessage::Kind;
    const Kind kinds[] = {Kind::relay_response, Kind::job_counts_response, Kind::abstention,
                          Kind::replica_part};
    const auto kind = kinds[number(0, 3)];
    const auto from = moment + number(0, 2'000);
    const auto to = from + number(500, 10'000);
    const auto delay_ms = number(0, 1) == 0 ? number(200, 3'000) : number(3'000, 30'000);
    if (number(0, 1) == 0) s_.late_peer_messages.push_back({kind, from, to, delay_ms});
  }

  // Requests that were carried out and answered are carried out again.
  void draw_repeats() {
    if (number(0, 1) == 0) return;
    s_.duplicate_delay_min = number(100, 3'000);
    s_.command_repeats = tenths(1, 10);
    if (number(0, 1) == 0) s_.request_repeats = 0.05 * static_cast<double>(number(1, 4));
    if (number(0, 1) == 0) s_.peer_message_repeats = 0.05 * static_cast<double>(number(1, 4));
  }

  // ---- the state service

  void store_outage(const Draw& d) {
    add(d.when, "outage");
    add(d.when + number(1'000, 48'000), "mend");
  }
  void late_writes(const Draw& d) {
    s_.late_writes = tenths(1, 5);
    s_.late_writes_from = d.when;
    s_.late_writes_to = d.when + number(5'000, 40'000);
  }
  void lost_answers(const Draw& d) {
    s_.late_writes = tenths(1, 5);
    s_.lose_only_answers = true;
    s_.late_writes_from = d.when;
    s_.late_writes_to = d.when + number(5'000, 40'000);
  }

  // ---- machines and users

  void hanging_machines(const Draw& d) { add(d.when, "hang 3"); }
  void cancelled_jobs(const Draw& d) {
    add(d.when, "cancel " + std::to_string(number(1, 8)) +
                    (d.hold ? " " + std::to_string(number(3'000, 22'000)) : ""));
  }
  void cancels_at_end(const Draw&) { s_.cancels_at_end = tenths(1, 5); }
  void query_burst(const Draw& d) {
    s_.query_burst_from = d.when;
    s_.query_burst_to = d.when + number(5'000, 40'000);
  }
  void invalid_requests(const Draw& d) {
    s_.invalid_requests_from = d.when;
    s_.invalid_requests_to = d.when + number(5'000, 60'000);
  }

  SeededRandom random_;
  Scenario s_;
};

}  // namespace

Scenario overlapping_faults_scenario(std::uint64_t seed) {
  return OverlappingFaults(seed).draw();
}

}  // namespace hitchfront::testing
