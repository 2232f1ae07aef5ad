// Jobs that await others: released and cancelled by what is stored of those. docs/safety.md, "Jobs
// that await others".
#include "api/job_api.hpp"
#include "leader/leader.hpp"
#include "leader/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using dependencies::Outcome;
using Rank = StoreClient::Rank;

void Leader::await_others(JobState& job) {
  if (job.spec.awaits.empty() || job.cancelled) return;
  job.waits = true;
  graph_.add(job.spec.id, job.spec.awaits);
  for (const auto& name : job.spec.awaits) unresolved_.emplace(name, false);
  log(Event::job_waits, job.spec.id, graph_.first_awaited(job.spec.id));
}

// A job that others await goes with the highest priority among them.
void Leader::inherit_priority(const JobState& job) {
  std::vector<const JobState*> open = {&job};
  while (!open.empty()) {
    const auto* dependent = open.back();
    open.pop_back();
    for (const auto& name : dependent->spec.awaits) {
      auto* awaited = find(name);
      if (awaited == nullptr || awaited->priority >= dependent->priority) continue;
      awaited->priority = dependent->priority;
      open.push_back(awaited);
      dirty_ = true;
    }
  }
}

// What is awaited and not among the unfinished jobs is over, or is about to be read: the store is
// asked, and asked again until it tells one or the other. Nothing is released by anything but a
// final state that is stored.
void Leader::resolve_awaited(Ms now) {
  if (!loaded_ || unresolved_.empty() || now < resolve_at_) return;
  resolve_at_ = now + kTickMs;
  const auto unresolved = unresolved_;
  for (const auto& [name, ended_now] : unresolved) {
    if (const auto* job = find(name)) {
      unresolved_.erase(name);
      if (job->cancelled) resolve_dependency(now, name, Outcome::cancelled, false);
      continue;
    }
    const auto known = outcome_of ? outcome_of(name) : std::nullopt;
    if (known) {
      unresolved_.erase(name);
      resolve_dependency(now, name, known->cancelled ? Outcome::cancelled : Outcome::done,
                         ended_now);
    } else if (asked_finals_.insert(name).second) {
      ask_final(now, name);
    }
  }
}

void Leader::ask_final(Ms now, const std::string& name) {
  store_.get(now, Rank::first, outcome_key(name),
             mine([this, name](Ms t, int status, std::string_view body) {
               asked_finals_.erase(name);
               const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
               const auto record = item ? wire::decode_job_outcome(item->value) : std::nullopt;
               if (!record) {
                 resolve_at_ = std::max(resolve_at_, t + kStoreRetryMs);
                 return;
               }
               const auto unresolved = unresolved_.extract(name);
               resolve_dependency(t, name, record->cancelled ? Outcome::cancelled : Outcome::done,
                                  !unresolved.empty() && unresolved.mapped());
             }));
}

// `just_now`: its final state was stored at this moment, from which its dependents' waits are
// counted.
void Leader::resolve_dependency(Ms now, const std::string& name, Outcome outcome, bool just_now) {
  const auto consequences = graph_.settle(name, outcome);
  for (const auto& id : consequences.released) {
    auto* job = find(id);
    if (job == nullptr) continue;
    job->waits = false;
    if (just_now) job->seen = now;
    log(Event::job_released, id, name);
    dirty_ = true;
  }
  for (const auto& id : consequences.cancelled) {
    auto* job = find(id);
    if (job == nullptr || job->cancelled) continue;
    log(Event::job_cancelled_with, id, name);
    job_cancelled(now, *job);
    persist(now, *job);
  }
}

// A job is gone from the unfinished ones; what became of it is not known here.
void Leader::look_for_outcome(const std::string& name) {
  if (graph_.is_awaited(name)) unresolved_[name] = true;
}

}  // namespace hitchfront::core
