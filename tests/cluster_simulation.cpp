#include "cluster_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::testing {
using nlohmann::json;

// ---- the rules
// -----------------------------------------------------------------------------------

void InvariantChecker::violation(const char* rule, const std::string& how) {
  broken.insert(rule);
  what.push_back(std::string(rule) + ": " + how);
}

void InvariantChecker::start(std::int64_t now, const simulators::Worker::Place& place,
                             const std::string& id, std::uint32_t task) {
  ++started;
  auto& job = jobs[id];
  if (job.began_at < 0) job.began_at = now;
  const auto name = id + "/" + std::to_string(task) + " on " + place.name;
  auto& places = on_[{id, task}];
  if (!places.empty())
    violation("ran_twice",
              name + " at " + std::to_string(now) + " while on " + places.front().name);
  if (job.acknowledged_cancelled && now > job.cancelled_at + cancel_ms)
    violation("ran_cancelled", name);
  if (waits_for_others(id)) violation("too_early", name + " at " + std::to_string(now));
  started_cancelled += job.acknowledged_cancelled ? 1 : 0;
  const auto& s = job.spec;
  if (s.types && std::find(s.types->begin(), s.types->end(), place.type) == s.types->end())
    violation("wrong_place", name);
  if (s.zone && *s.zone != place.zone) violation("wrong_place", name);
  if (!s.spot && place.spot) violation("wrong_place", name);
  std::uint32_t here = 1;
  for (auto at = on_.lower_bound({id, 0}); at != on_.end() && at->first.first == id; ++at) {
    for (const auto& p : at->second) {
      if (p.zone == place.zone)
        ++here;
      else if (s.one_zone)
        violation("wrong_place", name + " away from its job's other tasks");
    }
  }
  if (s.spread && here > (s.tasks + 1) / 2)
    violation("wrong_place", name + ": too many in one zone");
  places.push_back(place);
  const double now_used = used_[s.team] += s.cpus;
  if (now_used > team_limit[s.team] + 1e-6)
    violation("quota", s.team + " uses " + std::to_string(now_used));
}

double InvariantChecker::used(const std::string& team) const {
  const auto it = used_.find(team);
  return it == used_.end() ? 0 : it->second;
}

void InvariantChecker::done(std::int64_t now, const std::string& id, std::uint32_t task) {
  auto& job = jobs[id];
  job.done.insert(task);
  if (job.done.size() == job.spec.tasks && job.done_at < 0) job.done_at = now;
}

bool InvariantChecker::waits_for_others(const std::string& id) const {
  const auto& awaits = jobs.at(id).spec.awaits;
  return std::any_of(awaits.begin(), awaits.end(),
                     [this](const auto& name) { return jobs.at(name).done_at < 0; });
}

// Directly or through others.
bool InvariantChecker::needs(const std::string& id,
                             const std::function<bool(const Job&)>& matches) const {
  std::set<std::string> seen;
  std::vector<std::string> open = {id};
  while (!open.empty()) {
    const auto it = jobs.find(open.back());
    open.pop_back();
    if (it == jobs.end()) continue;
    for (const auto& name : it->second.spec.awaits) {
      if (!seen.insert(name).second) continue;
      if (const auto awaited = jobs.find(name); awaited != jobs.end() && matches(awaited->second))
        return true;
      open.push_back(name);
    }
  }
  return false;
}

bool InvariantChecker::is_called_off(const std::string& id) const {
  const auto asked = [](const Job& job) { return job.cancel_asked; };
  const auto it = jobs.find(id);
  return it != jobs.end() && (asked(it->second) || needs(id, asked));
}

std::optional<std::int64_t> InvariantChecker::needs_cancelled_at(const std::string& id) const {
  std::optional<std::int64_t> at;
  needs(id, [&at](const Job& job) {
    if (job.acknowledged_cancelled) at = std::min(at.value_or(job.cancelled_at), job.cancelled_at);
    return false;
  });
  return at;
}

void InvariantChecker::unknown_awaited_answer(const std::string& id, int status) {
  if (status == 200 || status == 201)
    violation("invented",
              id + " awaits a job that nobody submitted, and gets " + std::to_string(status));
}

void InvariantChecker::leave(const simulators::Worker::Place& place, const std::string& id,
                             std::uint32_t task) {
  auto& places = on_[{id, task}];
  auto it = std::find_if(places.begin(), places.end(),
                         [&](const auto& p) { return p.name == place.name; });
  if (it != places.end()) {
    places.erase(it);
    const auto& spec = jobs.at(id).spec;
    used_[spec.team] -= spec.cpus;
  }
  if (places.empty()) on_.erase({id, task});
}

void InvariantChecker::tick(std::int64_t now) {
  for (const auto& [key, on] : on_) {
    const auto& job = jobs[key.first];
    if (!on.empty() && job.acknowledged_cancelled && now > job.cancelled_at + cancel_ms)
      violation("ran_cancelled", key.first + " still on " + on.front().name);
  }
}

void InvariantChecker::final_state(std::int64_t now, std::int64_t asked, const std::string& id,
                                   const std::string& state) {
  auto& job = jobs[id];
  if (state != "done" && state != "withdrawn") {
    const auto cancelled = needs_cancelled_at(id);
    if (cancelled && asked > std::max(*cancelled, job.accepted_at) + cancel_ms)
      violation("orphaned", id + " is called " + state);
    if ((job.acknowledged_done || job.acknowledged_cancelled) && job.final_at <= asked)
      violation("went_back", id + " is called " + state);
    return;
  }
  if (!job.acknowledged_done && !job.acknowledged_cancelled) job.final_at = now;
  if ((state == "done" && job.acknowledged_cancelled) ||
      (state == "withdrawn" && job.acknowledged_done))
    violation("went_back", id + " is called " + state);
  if (state == "withdrawn" && !is_called_off(id)) violation("went_back", id + " was not cancelled");
  if (state == "done" && job.done.size() < job.spec.tasks) violation("not_done", id);
  (state == "done" ? job.acknowledged_done : job.acknowledged_cancelled) = true;
}

std::vector<std::string> InvariantChecker::machines_of(const std::string& id) const {
  std::vector<std::string> out;
  for (auto at = on_.lower_bound({id, 0}); at != on_.end() && at->first.first == id; ++at)
    for (const auto& p : at->second) out.push_back(p.name);
  return out;
}

void InvariantChecker::odd_answer(const std::string& request, int status) {
  if (status == 200 || status == 201)
    violation("accepted_oddly", request + " gets " + std::to_string(status));
}

void InvariantChecker::note_starving(std::int64_t now, const std::string& id,
                                     const std::set<std::string>& free_capacity) {
  auto& job = jobs[id];
  std::erase_if(job.beside, [&](const auto& name) { return !free_capacity.contains(name); });
  if (job.beside.empty()) {
    job.starving_since = now;
    job.beside = free_capacity;
  } else if (now - job.starving_since > kStarvedMs) {
    violation("neglected", id + " has waited beside " + *job.beside.begin() + " since " +
                               std::to_string(std::exchange(job.starving_since, now)));
  }
}

void InvariantChecker::look_for_forgotten(std::int64_t now, std::int64_t quiet) {
  for (auto& [id, job] : jobs) {
    if (!job.accepted || is_called_off(id)) continue;
    if (now - std::max({quiet, job.accepted_at, job.answered_at}) <= kForgottenMs) continue;
    violation("forgotten", id + " has had no answer since " + std::to_string(job.answered_at));
    job.answered_at = now;  // told once in a while
  }
}

void InvariantChecker::submitted_answer(std::int64_t now, const std::string& id, int status) {
  auto& job = jobs[id];
  if (job.accepted && (status == 400 || status == 422))
    violation("forgotten", id + " gets " + std::to_string(status));
  if (status != 200 && status != 201) return;
  if (!job.accepted) job.accepted_at = now;
  job.answered_at = now;
  job.accepted = true;
}

void InvariantChecker::polled(std::int64_t now, std::int64_t asked, const std::string& id,
                              int status, const std::string& state) {
  auto it = jobs.find(id);
  if (it == jobs.end() || !it->second.submitted) {
    if (status == 200) violation("invented", id);
    return;
  }
  if (status == 404 && it->second.accepted && it->second.accepted_at <= asked)
    violation("forgotten", id + " gets 404");
  if (status != 200) return;
  it->second.answered_at = now;
  if (state == "withdrawn" && !it->second.acknowledged_cancelled) it->second.cancelled_at = now;
  final_state(now, asked, id, state);
}

void InvariantChecker::cancelled(std::int64_t now, std::int64_t asked, const std::string& id,
                                 int status, const std::string& state) {
  if (status != 200) return;
  auto& job = jobs[id];
  if (state == "withdrawn" && !job.acknowledged_cancelled) job.cancelled_at = now;
  final_state(now, asked, id, state);
}

constexpr std::int64_t kTimeForAllMs = 100'000;

// What an answer to a user calls its job; empty: nothing.
static std::string state_in(const std::string& text) {
  const auto o = json::parse(text, nullptr, false);
  return o.is_object() ? o.value("Status", "") : std::string();
}

// ---- the world
// -----------------------------------------------------------------------------------

settings::Platform test_platform(int nodes, const std::vector<std::string>& zones) {
  settings::Platform p;
  p.node = "node-0";
  p.zone = zones.front();
  p.client_listen = "127.0.0.1:1";
  p.peer_listen = "127.0.0.1:2";
  p.nodes = nodes;
  p.zones = zones;
  p.teams = {{"red", 12, 24}, {"blue", 12, 32}, {"guest"}};
  p.heartbeat_s = 2;
  p.lease_s = 12;
  p.cancel_s = 30;
  p.store.requests_per_s = 300;
  p.store.writes_per_s = 80;
  p.store.value_kb = 8;
  p.store.transaction_changes = 12;
  p.cloud_rps = 4;
  p.cloud_list_lag_s = 8;
  p.cores = 0.1;
  p.memory_mb = 72;
  p.max_connections = 1000;
  p.time_bound_ms = 20;
  return p;
}

settings::StoreLimits test_next_limits(settings::StoreLimits today) {
  today.value_kb = 1;
  today.transaction_changes = 8;
  return today;
}

void alone(Scenario& s, int node, std::int64_t from, std::int64_t to, bool hold) {
  const auto name = "node-" + std::to_string(node);
  s.cuts.push_back({from, to, name, "state", hold});
  for (int other = 0; other < s.nodes; ++other)
    if (other != node) s.cuts.push_back({from, to, name, "node-" + std::to_string(other), hold});
}

Scenario random_scenario(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto number = [&](std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
  };
  Scenario s;
  s.seed = seed;
  if (number(0, 3) == 0) s.zones = {"only"};
  s.loss = 0.001 * static_cast<double>(number(0, 20));
  const auto n = number(3, 9);
  for (std::int64_t i = 0; i < n; ++i) {
    const auto when = number(5'000, s.run_ms - 10'000);
    const std::string node = "node-" + std::to_string(number(0, 2));
    switch (number(0, 10)) {
      case 0:
        s.events.push_back({when, "crash leader"});
        break;
      case 1:
        s.events.push_back({when, number(0, 1) == 0 ? "crash all" : "crash " + node});
        break;
      case 2:
        s.events.push_back({when, "outage"});
        s.events.push_back({when + number(1'000, 25'000), "mend"});
        break;
      case 3:
        s.events.push_back({when, "cloud-out"});
        s.events.push_back({when + number(5'000, 40'000), "cloud-mend"});
        break;
      case 4:
        s.events.push_back({when, "hang"});
        break;
      case 5:
        s.events.push_back({when, "hang briefly"});
        break;
      case 6:
        s.events.push_back({when, number(0, 1) == 0 ? "take" : "notice"});
        break;
      default: {
        const char* others[] = {"state", "workers", "cloud", "users", "*", "node-1"};
        std::string a = number(0, 2) == 0 ? "n-00000" + std::to_string(number(1, 9)) : node;
        std::string b = others[number(0, 5)];
        if (a.starts_with("n-")) b = "*";
        s.cuts.push_back({when, when + number(1'000, 45'000), a, b, number(0, 1) == 0});
      }
    }
  }
  // What was on no list at first.
  if (number(0, 2) == 0) {
    s.storm_from = number(5'000, 60'000);
    s.storm_to = s.storm_from + number(5'000, 60'000);
  }
  if (number(0, 2) == 0) {
    s.best_effort = 0.1 * static_cast<double>(number(1, 6));
    if (number(0, 1) == 0) s.best_effort_run_s = static_cast<double>(number(10, 40));
  }
  if (number(0, 2) == 0) s.mistaken = 0.05 * static_cast<double>(number(1, 4));
  if (number(0, 2) == 0) {
    const auto when = number(1'000, s.run_ms - 30'000);
    const char* boots[] = {"boots 0.05", "boots 4", "boots 12", "boots-fail"};
    s.events.push_back({when, boots[number(0, 3)]});
    s.events.push_back({when + number(10'000, 60'000), "boots-mend"});
  }
  if (number(0, 2) == 0) s.events.push_back({number(5'000, s.run_ms), "faulty"});
  if (number(0, 2) ==
      0) {  // one node goes silent for a minute and more, and perhaps a second one with it
    const auto when = number(5'000, 60'000);
    const auto first = number(0, 2);
    s.cuts.push_back({when, when + number(60'000, 85'000), "node-" + std::to_string(first), "*",
                      number(0, 1) == 0});
    if (number(0, 2) == 0)
      s.cuts.push_back({when + number(0, 20'000), when + number(30'000, 60'000),
                        "node-" + std::to_string((first + 1) % 3), "*", number(0, 1) == 0});
  }
  // Controllers replaced, back and forth between versions, at any moment; at the end all are of the
  // newest.
  if (number(0, 1) == 0) {
    const feature_level::Support kinds[] = {{1, 1, false},
                                            {1, 1, true},
                                            {1, 2, true},
                                            {1, 3, true},
                                            {1, feature_level::kNewest + 1, true}};
    const auto draw = [&](std::int64_t when, int node) {
      s.versions.push_back({when, node, kinds[number(0, 4)],
                            number(0, 3) == 0 ? static_cast<unsigned>(number(1, 4)) : 1000});
    };
    for (int node = 0; node < s.nodes; ++node) draw(0, node);
    for (auto rolls = number(0, 8); rolls > 0; --rolls)
      draw(number(10'000, s.run_ms), static_cast<int>(number(0, 2)));
    for (int node = 0; node < s.nodes; ++node)
      s.versions.push_back(
          {s.run_ms + 1000 + 8000 * node, node, {1, feature_level::kNewest + 1, true}});
    s.settle_ms += 100'000;  // the last of them is back twenty seconds after the users' last job,
                             // and a job of one machine type takes its time
    if (number(0, 1) == 0)
      s.events.push_back(
          {number(10'000, s.run_ms), "freeze leader " + std::to_string(number(1'000, 20'000))});
  }
  // An outage that no later event mends would leave nothing to settle.
  s.events.push_back({s.run_ms, "mend"});
  s.events.push_back({s.run_ms, "cloud-mend"});
  s.events.push_back({s.run_ms, "boots-mend"});
  if (number(0, 1) == 0) s.restart_ms = number(50, 500);
  // What the acceptance had left out: machines that can't be reached, copies and repeats, a
  // controller alone with its workers.
  if (number(0, 1) == 0) {
    s.duplicates = 0.05 * static_cast<double>(number(1, 6));
    s.duplicate_delay_min = number(500, 5'000);
    s.duplicate_delay_max = s.duplicate_delay_min + number(1'000, 60'000);
  }
  if (number(0, 1) == 0) s.late_commands = 0.1 * static_cast<double>(number(1, 5));
  if (number(0, 1) == 0) {  // reports far apart, so that launches go to machines directly
    s.heartbeat_ms = number(3, 8) * 1000;
    s.lease_s = 12 + 2.5 * static_cast<double>(s.heartbeat_ms) / 1000;
    s.settle_ms += 60'000;
  }
  if (number(0, 1) == 0) s.repeats = 0.05 * static_cast<double>(number(1, 4));
  for (auto unreachable = number(0, 3); unreachable > 0; --unreachable) {
    const auto when = number(10'000, s.run_ms - 40'000);
    const std::string machine =
        number(0, 4) == 0
            ? "zone " + s.zones.front()
            : "n-0000" + std::string(number(0, 1) == 0 ? "0" : "1") + std::to_string(number(1, 9));
    s.unreachable.push_back({when, when + number(20'000, 90'000),
                             number(0, 2) == 0 ? "node-" + std::to_string(number(0, 2)) : "*",
                             machine, number(0, 1) == 0});
  }
  if (number(0, 2) == 0) {
    const auto when = number(10'000, s.run_ms - 50'000);
    alone(s, static_cast<int>(number(0, 2)), when, when + number(3'000, 45'000), number(0, 1) == 0);
  }
  s.settle_ms += 60'000;  // the last of these may end when the users have long stopped
  for (auto flaps = number(0, 3); flaps > 0; --flaps)
    s.events.push_back(
        {number(5'000, s.run_ms - 20'000), "flap " + std::to_string(number(100, 900))});
  // The operators' next wish: jobs that await others, and a state service whose limits fall. While
  // earlier versions are there such jobs are refused, and most of their users give up.
  if (number(0, 1) == 0)
    s.chains = 0.1 * static_cast<double>(number(2, s.versions.empty() ? 8 : 3));
  if (number(0, 1) == 0) s.limits_fall_at = number(1'000, s.run_ms);
  return s;
}

Scenario meeting_scenario(std::uint64_t seed) {
  std::mt19937_64 random(seed * 7919 + 3);
  const auto number = [&](std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
  };
  Scenario s;
  s.seed = seed;
  s.nodes = number(0, 1) == 0 ? 3 : 5;
  if (number(0, 2) == 0) s.zones = {"only"};
  s.services = 0;
  const std::int64_t restarts[] = {50, 300, 1000, 5000};
  s.restart_ms = restarts[number(0, 3)];
  s.tasks_most = number(0, 1) == 0 ? 3 : 12;
  const double runs[] = {0, 0, 30, 60};
  s.run_least_s = runs[number(0, 3)];
  if (s.run_least_s > 0) s.scale = 3;  // there is time for all that comes
  if (number(0, 2) == 0) {             // reports far apart: launches go to machines directly
    s.heartbeat_ms = 6000;
    s.lease_s = 27;
  }
  s.cancels = 0.1 * static_cast<double>(number(1, 6));
  s.run_ms = 170'000;
  s.settle_ms = 700'000;
  const std::int64_t first = number(45'000, 60'000), second = first + number(50'000, 70'000);
  s.cancel_from = number(0, 1) == 0 ? first - 2000 : second - 2000;
  s.cancel_to = s.cancel_from + number(3'000, 25'000);
  for (const auto moment : {first, second})
    for (auto n = number(2, 3); n > 0; --n) {
      const auto when = moment + number(0, 2000);
      const auto node = static_cast<int>(number(0, s.nodes - 1));
      const auto name = "node-" + std::to_string(node);
      const bool hold = number(0, 1) == 0;
      switch (number(0, 22)) {
        case 0:
          s.events.push_back({when, "refuse leader " + std::to_string(number(1'000, 20'000))});
          break;
        case 1:
          s.events.push_back({when, "outage"});
          s.events.push_back({when + number(1'000, 48'000), "mend"});
          break;
        case 2:
          s.events.push_back({when, "crash leader"});
          break;
        case 3:
          s.events.push_back({when, "crash leader"});
          s.events.push_back({when + number(50, 900), "crash leader"});
          break;
        case 4:
          s.events.push_back({when, "crash all"});
          break;
        case 5:
          s.events.push_back({when, "crash a follower"});
          break;
        case 6:
          s.events.push_back({when, "freeze leader " + std::to_string(number(500, 25'000))});
          break;
        case 7:
          alone(s, node, when, when + number(2'000, 40'000), hold);
          break;
        case 8:
          s.cuts.push_back({when, when + number(2'000, 40'000), name, "workers", hold});
          break;
        case 9:
          s.cuts.push_back({when, when + number(2'000, 40'000), name,
                            "node-" + std::to_string((node + 1) % s.nodes), hold});
          break;
        case 10: {
          const std::string whom[] = {"tenth", "zone " + s.zones.front(), "n-000003"};
          s.unreachable.push_back({when, when + number(5'000, 60'000),
                                   number(0, 1) == 0 ? name : "*", whom[number(0, 2)], false});
          break;
        }
        case 11:
          s.late_writes = 0.1 * static_cast<double>(number(1, 5));
          s.late_writes_from = when;
          s.late_writes_to = when + number(5'000, 40'000);
          break;
        case 12:
          s.duplicates = 0.3;
          s.duplicate_delay_min = 2'000;
          s.duplicate_delay_max = 40'000;
          if (hold) s.late_commands = 0.3;
          break;
        case 13:
          s.events.push_back({when, "hang 3"});
          break;
        case 14:
          s.events.push_back({when, "cancel " + std::to_string(number(1, 8)) +
                                        (hold ? " " + std::to_string(number(3'000, 22'000)) : "")});
          break;
        case 15: {
          const std::string whom[] = {"tenth", "zone " + s.zones.front(), "*"};
          s.outbound_cuts.push_back(
              {when, when + number(5'000, 45'000), "", whom[number(0, 2)], false});
          break;
        }
        case 16:
          s.cancels_at_end = 0.1 * static_cast<double>(number(1, 5));
          break;
        case 17:
          s.late_writes = 0.1 * static_cast<double>(number(1, 5));
          s.late_at_once = true;
          s.late_writes_from = when;
          s.late_writes_to = when + number(5'000, 40'000);
          break;
        case 18:
          s.duplicates = 0.3;
          s.duplicates_for_next = true;
          s.events.push_back({when + number(0, 20'000), "crash leader"});
          break;
        case 19:
          s.looks_from = when;
          s.looks_to = when + number(5'000, 40'000);
          break;
        case 20:
          s.odd_from = when;
          s.odd_to = when + number(5'000, 60'000);
          break;
        case 21:  // leaders change on and on
          for (auto t = when; t < when + 30'000; t += number(3'000, 12'000))
            s.events.push_back({t, "crash leader"});
          break;
        default:
          s.after_cancel.push_back(
              {when, number(0, 500),
               number(0, 1) == 0 ? "crash canceller" : "refuse canceller 8000"});
      }
    }
  s.events.push_back({second + 50'500, "mend"});
  if (number(0, 1) == 0) s.chains = 0.1 * static_cast<double>(number(2, 8));
  if (number(0, 1) == 0) s.limits_fall_at = number(1'000, s.run_ms);
  return s;
}

ClusterSimulation::ClusterSimulation(Scenario scenario)
    : s_(std::move(scenario)), random_(s_.seed) {
  platform_ = test_platform(s_.nodes, s_.zones);
  platform_.store.writes_per_s = s_.write_rps;
  platform_.heartbeat_s = static_cast<double>(s_.heartbeat_ms) / 1000;
  platform_.lease_s = s_.announced_lease_s > 0 ? s_.announced_lease_s : s_.lease_s;
  platform_.cancel_s = std::max(platform_.cancel_s, s_.lease_s + 10);
  for (auto& t : platform_.teams) {
    t.cpus *= s_.scale;
    t.cpus_max *= s_.scale;
  }
  store_.txn_ops = platform_.store.transaction_changes;
  store_.value_bytes = platform_.store.value_bytes();
  if (s_.limits_fall_at > 0) {
    const auto next = test_next_limits(platform_.store);
    if (!s_.untold_limits) platform_.store = next;
    at(s_.limits_fall_at, [this, next] {
      store_.txn_ops = next.transaction_changes;
      store_.value_bytes = next.value_bytes();
      store_.too_large = 0;
    });
  }
  for (const auto& t : platform_.teams) checker.team_limit[t.name] = t.cpus_max;
  checker.cancel_ms = static_cast<std::int64_t>(platform_.cancel_s * 1000);
  std::vector<wire::MachineType> types = {{"small", 4, 0, 16, 50, 1, 0.2, 0.06, 8, s_.zones},
                                          {"large", 8, 0, 32, 50, 1, 0.5, 0.2, 12, s_.zones}};
  cloud_ = std::make_unique<simulators::Cloud>(types, s_.seed + 5, 8000);
  cloud_->never_up = 0.02;
  for (const auto& z : s_.zones)
    for (const auto& t : types) {
      cloud_->capacity[t.name + "/" + z + "/spot"] = 3 * s_.scale;
      cloud_->capacity[t.name + "/" + z + "/ordinary"] = 2 * s_.scale;
    }
  std::vector<std::string> names;
  for (int i = 0; i < s_.nodes; ++i) names.push_back("node-" + std::to_string(i));
  cloud_->on_up = [this, names](const simulators::Cloud::Machine& m) {
    const auto& type = *std::find_if(cloud_->types().begin(), cloud_->types().end(),
                                     [&](const auto& t) { return t.name == m.listed.type; });
    simulators::Worker::Place place{m.listed.name, m.listed.addr,  m.listed.type,
                                    m.listed.zone, m.listed.spot,  type.cpus,
                                    type.gpus,     type.memory_gb, type.fetch_gb_per_s};
    simulators::Worker::Hooks hooks;
    hooks.job = [this](const std::string& id) -> const wire::Job* {
      auto it = checker.jobs.find(id);
      return it == checker.jobs.end() || !it->second.submitted ? nullptr : &it->second.spec;
    };
    hooks.run_s = [this](const std::string& id, std::uint32_t t) { return run_s(id, t); };
    hooks.completed = [this](const std::string& id, std::uint32_t t) {
      return checker.jobs[id].done.contains(t);
    };
    hooks.fails = [this, place](const std::string& id, std::uint32_t) {
      auto& job = checker.jobs[id];
      if (job.mistaken) ++job.failures;
      return job.mistaken || faulty_.contains(place.name);
    };
    hooks.started = [this, place](const std::string& id, std::uint32_t t) {
      ++launches_by_second[now_ / 1000];
      checker.start(now_, place, id, t);
    };
    hooks.left = [this, place](const std::string& id, std::uint32_t t) {
      checker.leave(place, id, t);
    };
    hooks.lease_expires_at = [this] { ++leases_lost; };
    hooks.done = [this](const std::string& id, std::uint32_t t) {
      checker.done(now_, id, t);
      const auto& job = checker.jobs[id];
      if (s_.cancels_at_end <= 0 || now_ > s_.run_ms || job.done.size() != job.spec.tasks ||
          std::uniform_real_distribution<>(0, 1)(random_) >= s_.cancels_at_end)
        return;
      for (auto& u : users_)
        if (u.id == id && !u.over) u.cancel_at = u.next = now_;
    };
    workers_[place.name] = std::make_unique<simulators::Worker>(
        place, names, now_, s_.heartbeat_ms, static_cast<std::int64_t>(s_.lease_s * 1000),
        std::move(hooks), random_());
  };
  cloud_->on_gone = [this](const std::string& name) {
    auto it = workers_.find(name);
    if (it == workers_.end()) return;
    it->second->vanish();
    workers_.erase(it);
  };
  for (int i = 0; i < s_.nodes; ++i) {
    auto n = std::make_unique<Node>();
    n->index = i;
    n->name = names[static_cast<std::size_t>(i)];
    n->rate = 1 + std::uniform_real_distribution<>(0, 0.0005)(random_);
    n->offset = std::uniform_int_distribution<std::int64_t>(1000, 10'000'000)(random_);
    nodes_.push_back(std::move(n));
  }
  for (const auto& v : s_.versions)
    at(v.when, [this, v] {
      auto& n = *nodes_[static_cast<std::size_t>(v.node)];
      n.support = v.support;
      n.most = v.most;
      if (now_ > 0) crash(n);
    });
  for (const auto& e : s_.events) {
    if (e.what.starts_with("back ")) {
      at(std::max<std::int64_t>(0, e.when - std::stoll(e.what.substr(5))),
         [this, when = e.when] { kept_[when] = store_.keep(); });
      at(e.when, [this, when = e.when] {
        lost_store_ = true;
        store_.put_back(now_, *kept_.at(when));
      });
    } else {
      at(e.when, [this, what = e.what] { event(what); });
    }
  }
}

ClusterSimulation::~ClusterSimulation() = default;

void ClusterSimulation::at(std::int64_t when, std::function<void()> what) {
  events_.push({when, order_++, std::move(what)});
}

std::int64_t ClusterSimulation::steady(const Node& n) const {
  return n.offset + static_cast<std::int64_t>(static_cast<double>(now_) * n.rate);
}

ClusterSimulation::Node* ClusterSimulation::find(const std::string& name) {
  for (auto& n : nodes_)
    if (n->name == name) return n.get();
  return nullptr;
}

core::HttpReply ClusterSimulation::ask_leader(core::Method method, const std::string& path,
                                              const std::string& body) {
  for (auto& n : nodes_) {
    if (!n->core || n->core.get() != leader()) continue;
    const auto id = n->next_request++;
    n->core->request(steady(*n), now_, id, method, path, body);
    for (auto& r : n->core->take().replies)
      if (r.request == id) return r;
  }
  return {};
}

core::Controller* ClusterSimulation::leader() {
  for (auto& n : nodes_)
    if (n->core && n->core->leading()) return n->core.get();
  return nullptr;
}

void ClusterSimulation::start(Node& n) {
  auto p = platform_;
  p.node = n.name;
  p.zone = s_.zones[static_cast<std::size_t>(n.index) % s_.zones.size()];
  for (const auto& other : nodes_)
    if (other->name != n.name)
      p.peers.push_back({other->name,
                         s_.zones[static_cast<std::size_t>(other->index) % s_.zones.size()],
                         other->name});
  ++n.process;
  settings::Operator op;
  if (s_.without_allocation_log.contains(n.index) &&
      (s_.allocation_log_from == 0 || now_ < s_.allocation_log_from))
    op = settings::parse_operator("roster = false").settings;
  if (n.most < 1000)
    op = settings::parse_operator("level_most = " + std::to_string(n.most)).settings;
  n.core = std::make_unique<core::Controller>(p, random_(), op, n.support);
  n.core->start(steady(n), 1'700'000'000'000 + now_);
  flush(n);
}

void ClusterSimulation::crash(Node& n) {
  n.core.reset();
  n.requests.clear();
  ++n.process;
  n.restart_at = now_ + s_.restart_ms;
  n.frozen_until = 0;
}

void ClusterSimulation::hang(simulators::Worker& w, std::int64_t ms) {
  w.hung = true;
  at(now_ + ms, [this, name = w.place().name] {
    if (auto it = workers_.find(name); it != workers_.end()) it->second->hung = false;
  });
}

void ClusterSimulation::event(const std::string& what) {
  const auto pick = [&]() -> simulators::Worker* {
    if (workers_.empty()) return nullptr;
    auto it = workers_.begin();
    std::advance(it, std::uniform_int_distribution<std::size_t>(0, workers_.size() - 1)(random_));
    return it->second.get();
  };
  if (what.starts_with("crash ")) {
    const auto name = what.substr(6);
    for (auto& n : nodes_)
      if (n->core &&
          (name == "all" || name == n->name || (name == "leader" && n->core->leading()) ||
           (name == "a follower" && !n->core->leading()))) {
        crash(*n);
        if (name == "a follower") break;
      }
  } else if (what == "lose-all") {
    lost_store_ = true;
    store_.lose_all(now_);
  } else if (what.starts_with("freeze ")) {
    const auto name = what.substr(7, what.rfind(' ') - 7);
    for (auto& n : nodes_)
      if (n->core && (name == n->name || (name == "leader" && n->core->leading())))
        n->frozen_until = now_ + std::stoll(what.substr(what.rfind(' ') + 1));
  } else if (what.starts_with("refuse ")) {
    const auto name = what.substr(7, what.rfind(' ') - 7);
    for (auto& n : nodes_)
      if (name == n->name || (name == "leader" && n->core && n->core->leading()))
        n->refused_until = now_ + std::stoll(what.substr(what.rfind(' ') + 1));
  } else if (what.starts_with("alone leader ")) {
    for (auto& n : nodes_)
      if (n->core && n->core->leading())
        alone(s_, n->index, now_, now_ + std::stoll(what.substr(13)), true);
  } else if (what.starts_with("hang ") && what != "hang briefly") {
    for (int n = std::stoi(what.substr(5)); n > 0; --n) event("hang");
  } else if (what == "hang") {
    if (auto* w = pick()) {
      hang(*w, 25'000);
    }
  } else if (what == "hang briefly") {
    if (auto* w = pick()) {
      hang(*w, 9'000);
    }
  } else if (what.starts_with("flap ")) {
    // Back within a fraction of a second: what it sent before still comes.
    if (auto* w = pick()) {
      hang(*w, std::stoll(what.substr(5)));
    }
  } else if (what.starts_with("cancel ")) {
    const auto hang = what.find(' ', 7);
    cancel_running(std::stoi(what.substr(7)),
                   hang == std::string::npos ? 0 : std::stoll(what.substr(hang)));
  } else if (what == "take") {
    if (auto* w = pick(); w != nullptr && w->place().spot) cloud_->take(now_, w->place().name);
  } else if (what == "notice") {
    if (auto* w = pick(); w != nullptr && w->place().spot) {
      w->taken_at = now_ + 8000;
      at(now_ + 8000, [this, name = w->place().name] { cloud_->take(now_, name); });
    }
  } else if (what == "faulty") {
    if (auto* w = pick()) faulty_.insert(w->place().name);
  } else if (what == "outage") {
    store_.set_outage(now_, true);
  } else if (what == "mend") {
    store_.set_outage(now_, false);
  } else if (what.starts_with("boots ")) {
    cloud_->boot_factor = std::stod(what.substr(6));
  } else if (what == "boots-fail" || what == "boots-mend") {
    cloud_->never_up = what == "boots-fail" ? 0.5 : 0.02;
    cloud_->boot_factor = 1;
  } else if (what == "cloud-out") {
    cloud_->outage = true;
  } else if (what == "cloud-mend") {
    cloud_->outage = false;
  }
}

void ClusterSimulation::confirmed(const std::string& node) {
  for (std::size_t i = 0; i < s_.after_cancel.size(); ++i) {
    const auto& a = s_.after_cancel[i];
    if (now_ < a.from || !after_cancel_begun_.insert(i).second) continue;
    auto what = a.what;
    if (const auto p = what.find("canceller"); p != std::string::npos)
      what.replace(p, std::string("canceller").size(), node);
    at(now_ + a.delay, [this, what] { event(what); });
  }
}

void ClusterSimulation::awake(Node& n, std::function<void()> what) {
  if (now_ >= n.frozen_until) return what();
  at(n.frozen_until, std::move(what));
}

const Scenario::Cut* ClusterSimulation::cut(const std::string& a, const std::string& b) const {
  const auto is = [](const std::string& pattern, const std::string& name) {
    return pattern == "*" || pattern == name || (pattern == "workers" && name.starts_with("n-")) ||
           (pattern == "users" && name == "user");
  };
  const auto zone_of = [this](const std::string& name) -> std::string {
    for (const auto& n : nodes_)
      if (n->name == name) return s_.zones[static_cast<std::size_t>(n->index) % s_.zones.size()];
    const auto it = workers_.find(name);
    return it == workers_.end() ? "" : it->second->place().zone;
  };
  for (const auto& c : s_.zone_cuts) {
    if (now_ < c.from || now_ >= c.to) continue;
    const auto za = zone_of(a), zb = zone_of(b);
    if ((za == c.a && zb == c.b) || (za == c.b && zb == c.a)) return &c;
  }
  for (const auto& c : s_.cuts)
    if (now_ >= c.from && now_ < c.to && ((is(c.a, a) && is(c.b, b)) || (is(c.a, b) && is(c.b, a))))
      return &c;
  return nullptr;
}

bool ClusterSimulation::is_unreachable(const std::string& node, const std::string& worker) const {
  if (!worker.starts_with("n-")) return false;
  for (const auto& d : s_.unreachable) {
    if (now_ < d.from || now_ >= d.to || (d.a != "*" && d.a != node)) continue;
    if (matches(d.b, worker)) return true;
  }
  return false;
}

// "tenth": every tenth machine.
bool ClusterSimulation::matches(const std::string& pattern, const std::string& worker) const {
  if (pattern == "*" || pattern == worker || (pattern == "tenth" && worker.back() == '3'))
    return true;
  const auto it = workers_.find(worker);
  return it != workers_.end() && pattern == "zone " + it->second->place().zone;
}

bool ClusterSimulation::cannot_send(const std::string& worker) const {
  return std::any_of(s_.outbound_cuts.begin(), s_.outbound_cuts.end(), [&](const auto& m) {
    return now_ >= m.from && now_ < m.to && matches(m.b, worker);
  });
}

// Within a fifth of a second.
void ClusterSimulation::cancel_running(int jobs, std::int64_t hang_ms) {
  std::set<std::string> hanging;
  std::vector<std::size_t> order(users_.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::shuffle(order.begin(), order.end(), random_);
  for (const auto i : order) {
    auto& u = users_[i];
    if (jobs == 0) break;
    const auto on = checker.machines_of(u.id);
    if (!u.accepted || u.over || u.cancel_at != 0 || on.empty()) continue;
    --jobs;
    u.cancel_at = u.next = now_ + std::uniform_int_distribution<std::int64_t>(0, 200)(random_);
    for (const auto& name : on)
      if (hang_ms > 0 && hanging.size() < 8) hanging.insert(name);
  }
  for (const auto& name : hanging) hang(*workers_.at(name), hang_ms);
}

void ClusterSimulation::look_closely(std::size_t user) {
  if (now_ < s_.looks_from || now_ >= s_.looks_to) return;
  const auto id = users_[user].id;
  const auto ms = [this] { return std::uniform_int_distribution<std::int64_t>(1, 30)(random_); };
  for (auto& node : nodes_) {
    const auto ask = [this, id, &n = *node] {
      request(
          n, "user", core::Method::get, "/work/" + id, "",
          [this, id, asked = now_](int status, const std::string& text) {
            checker.polled(now_, asked, id, status, state_in(text));
          },
          2000);
    };
    at(now_ + ms(), ask);
    at(now_ + ms(), ask);
    at(now_ + ms(), [this, id, body = wire::to_json(users_[user].spec).dump(), &n = *node] {
      request(
          n, "user", core::Method::post, "/work", body,
          [this, id, asked = now_](int status, const std::string& text) {
            checker.submitted_answer(now_, id, status);
            if (status == 200) checker.polled(now_, asked, id, 200, state_in(text));
          },
          5000);
    });
  }
  auto& u = users_[user];
  if (!u.over && u.cancel_at == 0 && std::uniform_int_distribution<>(0, 5)(random_) == 0)
    u.cancel_at = u.next = now_;
}

void ClusterSimulation::ask_oddly() {
  if (now_ < s_.odd_from || now_ >= s_.odd_to || now_ < next_odd_ || users_.empty()) return;
  next_odd_ = now_ + std::uniform_int_distribution<std::int64_t>(50, 500)(random_);
  auto& n = *nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)];
  const auto& u = users_[std::uniform_int_distribution<std::size_t>(0, users_.size() - 1)(random_)];
  const auto id = u.id;
  if (u.accepted && !u.over) {
    request(
        n, "user", core::Method::post, "/work", wire::to_json(u.spec).dump(),
        [this, id](int status, const std::string&) { checker.submitted_answer(now_, id, status); },
        5000);
  } else if (u.accepted && checker.jobs[id].acknowledged_done) {
    request(
        n, "user", core::Method::post, "/work/" + id + "/abort", "",
        [this, id, asked = now_](int status, const std::string& text) {
          checker.cancelled(now_, asked, id, status, state_in(text));
        },
        5000);
  }
  auto odd = wire::to_json(u.spec);
  odd["Ref"] = "run-" + std::to_string(100'000'000 + next_id_++);
  const auto kind = std::uniform_int_distribution<>(0, 2)(random_);
  if (kind == 0) odd["Cpus"] = 1000.0;
  if (kind == 1) odd.erase("Kit");
  if (kind == 2) odd["Rigs"] = {"none"};
  request(
      n, "user", core::Method::post, "/work", odd.dump(),
      [this, what = odd.dump()](int status, const std::string&) {
        checker.odd_answer(what, status);
      },
      5000);
}

// Jobs that a machine could take as they are, their tasks' places aside. Left out is what may have
// to stand back by design, for a job of larger tasks that waits too: capacity, and its team's
// limit, may be kept for that one (docs/design.md).
void ClusterSimulation::look_for_starved() {
  std::vector<const User*> waiting;
  double most_cpus = 0;
  for (const auto& u : users_) {
    const auto& job = checker.jobs.at(u.id);
    if (!u.accepted || checker.is_called_off(u.id) || job.mistaken ||
        job.done.size() == job.spec.tasks || checker.waits_for_others(u.id))
      continue;
    bool waits = false;
    for (std::uint32_t t = 0; t < job.spec.tasks && !waits; ++t)
      waits = !job.done.contains(t) && !checker.is_on(u.id, t);
    if (!waits) {
      checker.note_starving(now_, u.id, {});
      continue;
    }
    waiting.push_back(&u);
    most_cpus = std::max(most_cpus, job.spec.cpus);
  }
  for (const auto* waits : waiting) {
    const auto& u = *waits;
    const auto& spec = checker.jobs.at(u.id).spec;
    std::set<std::string> free_capacity;
    if (!spec.one_zone && !spec.spread && spec.cpus >= most_cpus &&
        checker.used(spec.team) + spec.cpus <= checker.team_limit[spec.team] + 1e-6)
      for (const auto& [name, w] : workers_) {
        const auto& place = w->place();
        if (w->hung || w->taken_at || faulty_.contains(name) ||
            (spec.zone && *spec.zone != place.zone) || (!spec.spot && place.spot) ||
            (spec.types &&
             std::find(spec.types->begin(), spec.types->end(), place.type) == spec.types->end()))
          continue;
        double cpus = spec.cpus, memory = spec.memory_gb;
        for (const auto& [key, t] : w->tasks())
          if (t.state != wire::TaskState::ended) {
            cpus += checker.jobs.at(key.first).spec.cpus;
            memory += checker.jobs.at(key.first).spec.memory_gb;
          }
        if (cpus <= place.cpus + 1e-6 && memory <= place.memory_gb + 1e-6)
          free_capacity.insert(name);
      }
    checker.note_starving(now_, u.id, free_capacity);
  }
}

void ClusterSimulation::deliver_kept_heartbeats() {
  for (const auto& [name, body] : std::exchange(kept_heartbeats_, {}))
    for (auto& n : nodes_)
      at(now_ + std::uniform_int_distribution<std::int64_t>(0, 1500)(random_),
         [this, name = name, body = body, &to = *n] {
           request(
               to, name, core::Method::post, "/agent/beat", body, [](int, const std::string&) {},
               4000);
         });
}

void ClusterSimulation::once_more(double share, std::function<void()> what) {
  if (share <= 0 || std::uniform_real_distribution<>(0, 1)(random_) >= share) return;
  at(now_ + std::uniform_int_distribution<std::int64_t>(s_.duplicate_delay_min,
                                                        s_.duplicate_delay_max)(random_),
     std::move(what));
}

std::int64_t ClusterSimulation::quiet_at() const {
  std::int64_t quiet = s_.run_ms;
  const auto until = [&](std::int64_t when) { quiet = std::max(quiet, when); };
  for (const auto* cuts : {&s_.cuts, &s_.zone_cuts, &s_.unreachable, &s_.outbound_cuts})
    for (const auto& c : *cuts) until(c.to);
  for (const auto& e : s_.events)
    until(e.when + (e.what.starts_with("hang") || e.what.starts_with("cancel") ? 25'000
                    : e.what.starts_with("freeze")                             ? 20'000
                    : e.what.starts_with("refuse") || e.what.starts_with("alone")
                        ? std::stoll(e.what.substr(e.what.rfind(' ')))
                        : s_.restart_ms));
  for (const auto& v : s_.versions) until(v.when + s_.restart_ms);
  until(s_.late_writes_to + 12'000);
  return std::max(quiet, s_.storm_to);
}

void ClusterSimulation::send(const std::string& from, const std::string& to,
                             std::function<void()> deliver, std::function<void()> lost) {
  std::int64_t delay = std::uniform_int_distribution<std::int64_t>(1, 4)(random_);
  if (is_unreachable(from, to)) {
    if (lost) at(now_ + delay, std::move(lost));
    return;
  }
  // A lost packet is sent again a little later.
  if (std::uniform_real_distribution<>(0, 1)(random_) < s_.loss) delay += 300;
  if (const auto* c = cut(from, to)) {
    if (!c->hold) {
      if (lost) at(now_ + delay, std::move(lost));
      return;
    }
    delay += c->to - now_;  // held back, delivered in order after the cut
  }
  at(now_ + delay, std::move(deliver));
}

void ClusterSimulation::request(Node& n, const std::string& from, core::Method method,
                                const std::string& path, const std::string& body,
                                std::function<void(int, const std::string&)> done,
                                std::int64_t timeout) {
  auto over = std::make_shared<bool>(false);
  auto finish = [over, done](int status, const std::string& text) {
    if (std::exchange(*over, true)) return;
    done(status, text);
  };
  at(now_ + timeout, [finish] { finish(0, ""); });
  send(
      from, n.name,
      [this, &n, from, method, path, body, finish, timeout] {
        awake(n, [this, &n, from, method, path, body, finish, timeout] {
          if (!n.core) return finish(0, "");
          const auto id = n.next_request++;
          at(now_ + timeout, [this, &n, id, process = n.process] {
            if (n.process == process && now_ >= n.frozen_until && n.requests.contains(id))
              ++unanswered;
          });
          n.requests[id] = [this, &n, from, finish](const core::HttpReply& r) {
            ++n.answered[r.status];
            send(
                n.name, from, [finish, r] { finish(r.status, r.body); },
                [finish] { finish(0, ""); });
          };
          n.core->request(steady(n), 1'700'000'000'000 + now_, id, method, path, body);
          flush(n);
        });
      },
      [finish] { finish(0, ""); });
}

void ClusterSimulation::call(Node& n, core::HttpCall c) {
  const auto process = n.process;
  auto over = std::make_shared<bool>(false);
  auto finish = [this, &n, process, id = c.id, over](int status, const std::string& body) {
    if (std::exchange(*over, true)) return;
    awake(n, [this, &n, process, id, status, body] {
      if (n.process != process || !n.core) return;
      n.core->response(steady(n), id, status, body);
      flush(n);
    });
  };
  at(now_ + c.timeout_ms, [finish]() mutable { finish(0, ""); });
  const std::string method = c.method == core::Method::get    ? "GET"
                             : c.method == core::Method::post ? "POST"
                                                              : "DELETE";
  std::string to = c.target == core::Target::state ? "state" : "cloud";
  if (c.target == core::Target::worker) to = c.addr.substr(0, c.addr.find(':'));
  if (c.target == core::Target::cloud && c.path == "/machines") {
    const auto o = json::parse(c.body, nullptr, false);
    const auto who = n.name + " " + std::to_string(n.process);
    const auto& user = hires_.emplace(o.value("Hire", ""), who).first->second;
    if (user != who)
      checker.violation("numbers", "a rental's name is used by " + user + " and by " + who);
  }
  const auto back = [this, name = n.name, to, finish](const simulators::Response& r) {
    if (to == "state" && now_ >= s_.slow_from && now_ < s_.slow_to)
      return at(now_ + std::uniform_int_distribution<std::int64_t>(0, s_.slow_ms)(random_),
                [finish, r]() mutable { finish(r.status, r.body); });
    send(
        to, name, [finish, r]() mutable { finish(r.status, r.body); },
        [finish]() mutable { finish(0, ""); });
  };
  send(
      n.name, to,
      [this, &n, c, to, method, back] {
        if (c.target == core::Target::state && now_ < n.refused_until)
          return back({503, R"({"error":"trouble"})"});
        if (c.target == core::Target::state && c.path == "/txn" && now_ >= s_.late_writes_from &&
            now_ < s_.late_writes_to &&
            (s_.late_only.empty() ||
             c.body.find("\"Set\":\"" + s_.late_only) != std::string::npos) &&
            std::uniform_real_distribution<>(0, 1)(random_) < s_.late_writes) {
          ++late_writes;
          at(s_.late_at_once
                 ? now_
                 : now_ + std::uniform_int_distribution<std::int64_t>(2000, 12'000)(random_),
             [this, c, method] {
               store_.handle(now_, method, c.path, c.body, [](const simulators::Response&) {});
             });
          return;
        }
        if (c.target != core::Target::worker && c.method != core::Method::get)
          once_more(s_.repeats, [this, c, method] {
            if (c.target == core::Target::state)
              return store_.handle(now_, method, c.path, c.body,
                                   [](const simulators::Response&) {});
            cloud_->handle(now_, method, c.path, c.body);
          });
        if (c.target == core::Target::state) {
          // An open watch waits while its controller is refused, as in an outage.
          const auto served = std::make_shared<std::function<void(const simulators::Response&)>>();
          *served = [this, &n, back, weak = std::weak_ptr(served)](const simulators::Response& r) {
            if (now_ >= n.refused_until) return back(r);
            at(n.refused_until, [again = weak.lock(), r] { (*again)(r); });
          };
          store_.handle(now_, method, c.path, c.body,
                        [served](const simulators::Response& r) { (*served)(r); });
        } else if (c.target == core::Target::cloud) {
          if (c.path == "/machines/release")
            for (const auto& [name, w] : workers_)
              if (!w->tasks().empty() && c.body.find('"' + name + '"') != std::string::npos)
                ++busy_returned;
          back(cloud_->handle(now_, method, c.path, c.body));
        } else {
          ++direct_commands;
          for (auto p = c.body.find("\"launch\""); p != std::string::npos;
               p = c.body.find("\"launch\"", p + 1))
            ++direct_launches;
          if (s_.late_commands > 0 &&
              std::uniform_real_distribution<>(0, 1)(random_) < s_.late_commands) {
            at(now_ + std::uniform_int_distribution<std::int64_t>(s_.duplicate_delay_min,
                                                                  s_.duplicate_delay_max)(random_),
               [this, to, c] {
                 if (auto it = workers_.find(to); it != workers_.end() && !it->second->hung)
                   it->second->direct(now_, c.path, c.body);
               });
            return;
          }
          // A hanging machine takes a command up when it resumes.
          auto attempt = std::make_shared<std::function<void()>>();
          *attempt = [this, to, c, back, weak = std::weak_ptr(attempt)] {
            auto it = workers_.find(to);
            if (it == workers_.end()) return;
            if (!it->second->hung) return back(it->second->direct(now_, c.path, c.body));
            if (auto again = weak.lock()) at(now_ + 500, [again] { (*again)(); });
          };
          (*attempt)();
        }
      },
      [finish]() mutable { finish(0, ""); });
}

void ClusterSimulation::flush(Node& n) {
  while (n.core) {
    // Replay as the driver would, only without a clock.
    if (n.core->wants_replay()) n.core->replay(steady(n), 20'000);
    auto e = n.core->take();
    if (e.empty()) return;
    if (s_.mutant) s_.mutant(now_, n.index, e);
    for (auto& l : e.logs) {
      if (!telemetry::fits_table(l))
        checker.violation("log",
                          telemetry::text(telemetry::entry(l)) + " is not as its table says");
      log.push_back(std::to_string(now_) + " " + n.name + " " +
                    telemetry::text(telemetry::entry(l)));
      // A store that has lost something may have forgotten a term that nobody knows any more.
      if (l.event == telemetry::Event::leader_elected && !lost_store_ &&
          !elected_.insert(log.back().substr(log.back().find("term="))).second)
        checker.violation("numbers", "a term is used twice: " + log.back());
      if (l.event == telemetry::Event::leader_elected) deliver_kept_heartbeats();
    }
    for (auto& r : e.replies) {
      auto it = n.requests.find(r.request);
      if (it == n.requests.end()) continue;
      auto done = std::move(it->second);
      n.requests.erase(it);
      done(r);
    }
    for (auto& p : e.peers) {
      auto* to = find(p.node);
      if (to == nullptr) continue;
      send(
          n.name, p.node,
          [this, to, from = n.name, bytes = p.bytes] {
            awake(*to, [this, to, from, bytes] {
              if (!to->core) return;
              to->core->peer(steady(*to), from, bytes);
              flush(*to);
            });
          },
          nullptr);
    }
    for (auto& c : e.calls) call(n, std::move(c));
  }
}

double ClusterSimulation::run_s(const std::string& id, std::uint32_t task) const {
  if (s_.best_effort_run_s > 0 && checker.jobs.at(id).spec.team == "guest")
    return s_.best_effort_run_s;
  std::mt19937_64 r(std::hash<std::string>{}(id) + task + s_.seed);
  return s_.run_least_s + s_.far_apart_s * task + std::uniform_real_distribution<>(2, 14)(r);
}

void ClusterSimulation::users_act() {
  const bool ending = now_ > s_.run_ms;
  if (!ending && now_ >= next_job_) {
    next_job_ = now_ + static_cast<std::int64_t>(
                           std::exponential_distribution<>(s_.jobs_per_s)(random_) * 1000);
    const auto chance = [&](double p) {
      return std::uniform_real_distribution<>(0, 1)(random_) < p;
    };
    User u;
    std::string digits = std::to_string(next_id_++ * 7919 % 1'000'000);
    u.id = "run-" + std::string(6 - std::min<std::size_t>(6, digits.size()), '0') + digits;
    u.spec.id = u.id;
    u.spec.job_class = chance(0.5) ? "alpha" : "beta";
    u.spec.team = now_ < s_.best_effort_until || (s_.best_effort > 0 && chance(s_.best_effort))
                      ? "guest"
                  : chance(0.5) ? "red"
                                : "blue";
    u.spec.image = "img-" + std::to_string(std::uniform_int_distribution<>(0, 3)(random_));
    u.spec.image_gb = 1;
    u.spec.form = chance(s_.services) ? wire::Form::service : wire::Form::array;
    u.spec.priority = static_cast<wire::Priority>(std::uniform_int_distribution<>(0, 3)(random_));
    u.spec.tasks = u.spec.form == wire::Form::service
                       ? 2
                       : std::uniform_int_distribution<std::uint32_t>(1, s_.tasks_most)(random_);
    u.spec.cpus = std::uniform_int_distribution<>(1, 3)(random_);
    if (s_.large_job_cpus > 0 && chance(0.1)) u.spec.cpus = s_.large_job_cpus;
    u.spec.memory_gb = u.spec.cpus * 2;
    if (chance(s_.bound_to_zone)) u.spec.zone = s_.zones[0];
    if (chance(0.2)) u.spec.types = std::vector<std::string>{"large"};
    u.spec.one_zone = chance(0.2);
    u.spec.spread = !u.spec.one_zone && !u.spec.zone && s_.zones.size() > 1 && chance(0.2);
    u.spec.spot = chance(0.7);
    u.spec.estimate_s = 8;
    if (chance(0.4)) {
      u.spec.checkpoint_s = 4;
      u.spec.save_s = 1;
    }
    if (s_.plain_low) {
      u.spec.priority = wire::Priority::low;
      u.spec.zone.reset();
      u.spec.types.reset();
      u.spec.one_zone = u.spec.spread = false;
      u.spec.spot = true;
      u.spec.checkpoint_s = 4;
      u.spec.save_s = 1;
    }
    u.born = now_;
    if (u.spec.form == wire::Form::service || chance(s_.cancels))
      u.cancel_at = s_.cancel_to > 0
                        ? std::max(now_ + 100, std::uniform_int_distribution<std::int64_t>(
                                                   s_.cancel_from, s_.cancel_to)(random_))
                        : now_ + std::uniform_int_distribution<std::int64_t>(100, 40'000)(random_);
    if (s_.mistaken > 0 && u.spec.form == wire::Form::array && chance(s_.mistaken)) {
      checker.jobs[u.id].mistaken = true;
      u.cancel_at = s_.run_ms;
    }
    if (s_.chains > 0 && u.spec.form != wire::Form::service && chance(s_.chains))
      u.spec.awaits = draw_awaited();
    checker.jobs[u.id].spec = u.spec;
    if (s_.chains > 0 && chance(0.1)) name_an_unknown_job(u.spec);
    users_.push_back(std::move(u));
  }
  for (std::size_t i = 0; i < users_.size(); ++i) {
    auto& u = users_[i];
    if (u.waiting || now_ < u.next) continue;
    if (!u.accepted && now_ > u.born + 60'000) continue;  // gave up
    auto& node = *nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)];
    if (s_.no_users.contains(node.index)) continue;
    u.waiting = true;
    const auto repeat = [this, &node](const std::string& path, const std::string& body) {
      once_more(s_.repeats, [this, &node, path, body] {
        request(
            node, "user", core::Method::post, path, body, [](int, const std::string&) {}, 5000);
      });
    };
    const bool again = u.over && std::uniform_int_distribution<>(0, 3)(random_) == 0;
    if (!u.accepted || again) {
      // Retries of jobs that are long over must be known still, even with a body that is not valid.
      checker.jobs[u.id].submitted = true;
      auto body = wire::to_json(u.spec);
      if (again) body["Cpus"] = -1;
      repeat("/work", body.dump());
      request(
          node, "user", core::Method::post, "/work", body.dump(),
          [this, i, asked = now_](int status, const std::string& text) {
            auto& x = users_[i];
            x.waiting = false;
            x.next = now_ + (x.over ? 9000 : 1000);
            checker.submitted_answer(now_, x.id, status);
            if (status == 200 || status == 201) {
              const bool first = !std::exchange(x.accepted, true);
              if (first) ++accepted;
              checker.polled(now_, asked, x.id, 200, state_in(text));
              if (first) look_closely(i);
            }
          },
          5000);
    } else if (u.cancel_at != 0 && now_ >= u.cancel_at && !u.over) {
      checker.jobs[u.id].cancel_asked = true;
      repeat("/work/" + u.id + "/abort", "");
      request(
          node, "user", core::Method::post, "/work/" + u.id + "/abort", "",
          [this, i, name = node.name, asked = now_](int status, const std::string& text) {
            auto& x = users_[i];
            x.waiting = false;
            x.next = now_ + 1000;
            checker.cancelled(now_, asked, x.id, status, state_in(text));
            if (status == 200 && checker.jobs[x.id].acknowledged_cancelled) confirmed(name);
            if (status == 200 && !x.over) {
              x.over = true;
              ++finished;
              look_closely(i);
            }
          },
          5000);
    } else {
      const bool odd = std::uniform_int_distribution<>(0, 30)(random_) == 0;
      const std::string id = odd ? "run-999999999" : u.id;
      request(
          node, "user", core::Method::get, "/work/" + id, "",
          [this, i, id, asked = now_](int status, const std::string& text) {
            auto& x = users_[i];
            x.waiting = false;
            x.next = now_ +
                     (x.over ? 9000 : 5000) / (now_ >= s_.storm_from && now_ < s_.storm_to ? 8 : 1);
            const auto state = state_in(text);
            checker.polled(now_, asked, id, status, state);
            if (id == x.id && status == 200 && (state == "done" || state == "withdrawn") &&
                !x.over) {
              x.over = true;
              ++finished;
              look_closely(i);
            }
          },
          2000);
    }
  }
}

int ClusterSimulation::steps_before(const std::string& id) const {
  int most = 0;
  for (const auto& name : checker.jobs.at(id).spec.awaits)
    most = std::max(most, 1 + steps_before(name));
  return most;
}

// One to three jobs that were accepted, most of them lately; any state, and few steps, so that
// there is time for all.
std::vector<std::string> ClusterSimulation::draw_awaited() {
  constexpr int kStepsMost = 4;
  std::vector<std::string> known;
  for (const auto& u : users_)
    if (u.accepted && u.spec.form != wire::Form::service && !checker.jobs.at(u.id).mistaken &&
        steps_before(u.id) < kStepsMost)
      known.push_back(u.id);
  std::set<std::string> drawn;
  if (known.empty()) return {};
  constexpr std::size_t kLately = 8;
  const std::size_t first = known.size() > kLately ? known.size() - kLately : 0;
  for (auto n = std::uniform_int_distribution<int>(1, 3)(random_); n > 0; --n)
    drawn.insert(
        known[std::uniform_int_distribution<std::size_t>(first, known.size() - 1)(random_)]);
  return {drawn.begin(), drawn.end()};
}

void ClusterSimulation::name_an_unknown_job(const wire::Job& like) {
  auto job = like;
  job.id = "run-" + std::to_string(200'000'000 + next_id_);
  job.awaits.push_back("run-" + std::to_string(300'000'000 + next_id_));
  auto& node = *nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)];
  request(
      node, "user", core::Method::post, "/work", wire::to_json(job).dump(),
      [this, id = job.id](int status, const std::string&) {
        checker.unknown_awaited_answer(id, status);
      },
      5000);
}

void ClusterSimulation::workers_act() {
  machines_most = std::max(machines_most, workers_.size());
  for (auto& [name, w] : workers_) {
    auto out = w->poll(now_);
    if (!out) continue;
    if (cannot_send(name)) continue;  // it gives up by itself
    auto* node = find(out->node);
    request(
        *node, name, core::Method::post, "/agent/beat", out->body,
        [this, name, id = out->id](int status, const std::string& body) {
          if (auto it = workers_.find(name); it != workers_.end())
            it->second->answered(now_, id, status, body);
        },
        4000);
    if (s_.duplicates_for_next) {
      if (std::uniform_real_distribution<>(0, 1)(random_) < s_.duplicates)
        kept_heartbeats_.emplace_back(name, out->body);
      continue;
    }
    // The copy comes to any of them, and may come when the machine is long gone.
    once_more(s_.duplicates, [this, name, body = out->body] {
      auto& any =
          *nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)];
      request(
          any, name, core::Method::post, "/agent/beat", body, [](int, const std::string&) {}, 4000);
    });
  }
}

void ClusterSimulation::run() {
  const std::int64_t end = s_.run_ms + s_.settle_ms, quiet = quiet_at();
  for (; now_ < end; now_ += 10) {
    while (!events_.empty() && events_.top().when <= now_) {
      auto what = events_.top().what;
      events_.pop();
      what();
    }
    for (auto& n : nodes_) {
      if (!n->core && now_ >= n->restart_at) start(*n);
      if (n->core && now_ >= n->next_tick && now_ >= n->frozen_until) {
        n->next_tick = now_ + 100;
        n->core->tick(steady(*n), 1'700'000'000'000 + now_);
        flush(*n);
      }
    }
    if (now_ % 50 == 0) {
      store_.tick(now_);
      cloud_->tick(now_);
      users_act();
      ask_oddly();
    }
    workers_act();
    if (now_ % 500 == 0) checker.tick(now_);
    if (now_ % 1000 == 0) checker.look_for_forgotten(now_, quiet);
    if (now_ % 1000 == 0 && now_ > quiet) look_for_starved();
    if (now_ % 100 == 0) check_levels();
    // Each job has ended, and is known still when all is quiet.
    if (now_ > quiet && finished == accepted && unfinished().empty() &&
        std::all_of(checker.jobs.begin(), checker.jobs.end(), [&](const auto& j) {
          return !j.second.accepted || checker.is_called_off(j.first) ||
                 j.second.answered_at > quiet;
        }))
      break;
  }
  // A failed day, where there was time for all that was accepted.
  if (s_.settle_ms >= kTimeForAllMs)
    for (const auto& who : unserved()) checker.violation("served", who);
}

std::size_t ClusterSimulation::answered(const std::string& node, int status) const {
  for (const auto& n : nodes_)
    if (n->name == node) {
      const auto it = n->answered.find(status);
      return it == n->answered.end() ? 0 : it->second;
    }
  return 0;
}

std::vector<std::string> ClusterSimulation::large_jobs() const {
  std::map<std::string, std::vector<std::pair<double, std::string>>> sizes;
  for (const auto& [id, job] : checker.jobs)
    if (job.accepted && !checker.is_called_off(id) && !job.mistaken &&
        job.spec.form != wire::Form::service)
      sizes[job.spec.job_class].push_back({-job.spec.cpus * job.spec.tasks, id});
  std::vector<std::string> out;
  for (auto& [name, jobs] : sizes) {
    std::sort(jobs.begin(), jobs.end());
    for (std::size_t i = 0; i < std::max<std::size_t>(1, jobs.size() / 10); ++i)
      out.push_back(jobs[i].second);
  }
  return out;
}

std::vector<std::string> ClusterSimulation::late_to_begin(std::int64_t most_ms) const {
  std::vector<std::string> out;
  for (const auto& id : large_jobs()) {
    const auto& job = checker.jobs.at(id);
    if (!job.spec.awaits.empty()) continue;
    const auto wait = (job.began_at < 0 ? now_ : job.began_at) - job.accepted_at;
    if (wait > most_ms) out.push_back(id + " began after " + std::to_string(wait) + " ms");
  }
  return out;
}

std::vector<std::string> ClusterSimulation::unserved() const {
  std::map<std::string, std::pair<double, double>> served;  // done, of
  const auto large = large_jobs();
  for (const auto& [id, job] : checker.jobs) {
    if (!job.accepted || checker.is_called_off(id) || job.mistaken ||
        job.spec.form == wire::Form::service)
      continue;
    std::vector<std::string> names = {"class " + job.spec.job_class, "team " + job.spec.team};
    if (std::find(large.begin(), large.end(), id) != large.end())
      names.push_back("class " + job.spec.job_class + "'s largest");
    for (const auto& name : names) {
      served[name].first += job.done.size() == job.spec.tasks ? 1 : 0;
      served[name].second += 1;
    }
  }
  std::vector<std::string> out;
  for (const auto& [name, n] : served)
    if (n.first < 0.5 * n.second)
      out.push_back(name + ": " + std::to_string(static_cast<int>(n.first)) + " of " +
                    std::to_string(static_cast<int>(n.second)));
  return out;
}

wire::FeatureLevel ClusterSimulation::level() const {
  const auto* v = store_.value("level");
  const auto level = v != nullptr ? wire::decode_level(*v) : std::nullopt;
  return level.value_or(wire::FeatureLevel{});
}

std::size_t ClusterSimulation::written(const std::string& prefix) const {
  return store_.written(prefix);
}

std::string ClusterSimulation::stored(const std::string& key) const {
  const auto* v = store_.value(key);
  return v != nullptr ? v->dump() : std::string();
}

// The rule of a rollout, plainly: nobody leads, and nothing stands in the store, that does not go
// with the stored level.
void ClusterSimulation::check_levels() {
  const auto level = this->level();
  for (const auto& n : nodes_) {
    if (!n->core) continue;
    const bool can = n->support.announces
                         ? n->support.from <= level.low && level.high <= n->support.to
                         : level.high == 1;
    // Exact, for what announces itself: no switch passes a process by that serves.
    if (n->support.announces && !can && n->core->serving() && !lost_store_)
      checker.violation("level", n->name + " serves at level " + std::to_string(level.high));
    if (!can && n->core->leading())
      unsupported_since_[n->name] += 100;
    else
      unsupported_since_[n->name] = 0;
    // One from before levels has its lease to notice.
    if (unsupported_since_[n->name] > 6000)
      checker.violation("level", n->name + " leads a store of level " + std::to_string(level.high));
  }
  store_.each("prog/", [&](const std::string& key, const nlohmann::json& value) {
    const auto progress = wire::decode_progress(value.get_ref<const std::string&>(), 1'000'000);
    const auto form = progress ? static_cast<std::uint32_t>(progress->form) : 0;
    if (form < std::min(level.low, 2U) || form > level.high)
      checker.violation("level", key + " is of form " + std::to_string(form));
  });
}

std::vector<std::string> ClusterSimulation::unfinished() const {
  std::vector<std::string> out;
  for (const auto& u : users_)
    if (u.accepted && !u.over) out.push_back(u.id);
  return out;
}

void drop_launches(core::Effects& e, const std::function<bool(const std::string& job)>& unwanted) {
  const auto drop = [&](std::string& text) {
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("Orders")) return;
    auto kept = json::array();
    for (const auto& order : body["Orders"]) {
      const auto lot = order.value("Lot", "");
      if (order.value("Verb", "") != "launch" || !unwanted(lot.substr(0, lot.find('/'))))
        kept.push_back(order);
    }
    body["Orders"] = kept;
    text = body.dump();
  };
  for (auto& r : e.replies) drop(r.body);
  for (auto& c : e.calls) drop(c.body);
}

std::string report(const ClusterSimulation& w) {
  std::string out;
  for (std::size_t i = 0; i < std::min<std::size_t>(w.checker.what.size(), 5); ++i)
    out += w.checker.what[i] + "\n";
  return out;
}

}  // namespace hitchfront::testing
