#include "simulation/invariant_checker.hpp"

#include <algorithm>

namespace hitchfront::testing {
namespace {

constexpr double kRounding = 1e-6;  // of sums of processors

}  // namespace

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
  check_placement(place, id, name);
  places.push_back(place);
  const auto& team = job.spec.team;
  const double now_used = used_[team] += job.spec.cpus;
  if (now_used > team_limit[team] + kRounding)
    violation("quota", team + " uses " + std::to_string(now_used));
}

// Before the task is counted among those that run.
void InvariantChecker::check_placement(const simulators::Worker::Place& place,
                                       const std::string& id, const std::string& name) {
  const auto& spec = jobs.at(id).spec;
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), place.type) == spec.types->end())
    violation("wrong_place", name);
  if (spec.zone && *spec.zone != place.zone) violation("wrong_place", name);
  if (!spec.spot && place.spot) violation("wrong_place", name);
  std::uint32_t here = 1;
  for (auto at = on_.lower_bound({id, 0}); at != on_.end() && at->first.first == id; ++at) {
    for (const auto& p : at->second) {
      if (p.zone == place.zone)
        ++here;
      else if (spec.one_zone)
        violation("wrong_place", name + " away from its job's other tasks");
    }
  }
  if (spec.spread && here > (spec.tasks + 1) / 2)
    violation("wrong_place", name + ": too many in one zone");
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
  const auto& dependencies = jobs.at(id).spec.dependencies;
  return std::any_of(dependencies.begin(), dependencies.end(),
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
    for (const auto& name : it->second.spec.dependencies) {
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

void InvariantChecker::invalid_submission_answer(const std::string& request, int status) {
  if (status == 200 || status == 201)
    violation("accepted_invalid", request + " gets " + std::to_string(status));
}

void InvariantChecker::note_starving(std::int64_t now, const std::string& id,
                                     const std::set<std::string>& free_capacity) {
  auto& job = jobs[id];
  std::erase_if(job.starving_beside,
                [&](const auto& name) { return !free_capacity.contains(name); });
  if (job.starving_beside.empty()) {
    job.starving_since = now;
    job.starving_beside = free_capacity;
  } else if (now - job.starving_since > kStarvedMs) {
    violation("neglected", id + " has waited beside " + *job.starving_beside.begin() + " since " +
                               std::to_string(std::exchange(job.starving_since, now)));
  }
}

void InvariantChecker::check_forgotten(std::int64_t now, std::int64_t quiet) {
  for (auto& [id, job] : jobs) {
    if (!job.accepted || is_called_off(id)) continue;
    if (now - std::max({quiet, job.accepted_at, job.answered_at}) <= kForgottenMs) continue;
    violation("forgotten", id + " has had no answer since " + std::to_string(job.answered_at));
    job.answered_at = now;  // reported once in a while, not at each check
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

}  // namespace hitchfront::testing
