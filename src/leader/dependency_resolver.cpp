#include "leader/dependency_resolver.hpp"

#include <algorithm>
#include <vector>

#include "settings/constants.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::core {
using namespace settings;
using dependencies::Outcome;
using Rank = StoreClient::Rank;
namespace {

Outcome outcome_of(const wire::JobOutcome& record) {
  return record.cancelled ? Outcome::cancelled : Outcome::done;
}

}  // namespace

void DependencyResolver::add(JobState& job) {
  if (!job.spec.awaits.empty() && !job.cancelled) {
    job.waits = true;
    graph_.add(job.spec.id, job.spec.awaits);
    for (const auto& awaited : job.spec.awaits) unresolved_.emplace(awaited, false);
    context_.log(Event::job_waits, job.spec.id, graph_.first_awaited(job.spec.id));
  }
  inherit_priority(job);
}

void DependencyResolver::inherit_priority(const JobState& job) {
  std::vector<const JobState*> open = {&job};
  while (!open.empty()) {
    const auto* dependent = open.back();
    open.pop_back();
    for (const auto& id : dependent->spec.awaits) {
      auto* awaited = state_.jobs.find(id);
      if (awaited == nullptr || awaited->priority >= dependent->priority) continue;
      awaited->priority = dependent->priority;
      open.push_back(awaited);
      state_.placement_needed = true;
    }
  }
}

// What is awaited and not among the unfinished jobs is over, or is about to be read: the store is
// asked, and asked again until it tells one or the other. Nothing is released by anything but a
// final state that is stored.
void DependencyResolver::resolve(Ms now) {
  if (!state_.loaded || unresolved_.empty() || now < resolve_at_) return;
  resolve_at_ = now + kTickIntervalMs;
  const auto unresolved = unresolved_;
  for (const auto& [id, ended_now] : unresolved) resolve_one(now, id, ended_now);
}

void DependencyResolver::resolve_one(Ms now, const std::string& id, bool ended_now) {
  if (const auto* job = state_.jobs.find(id)) {
    unresolved_.erase(id);
    if (job->cancelled) settle(now, id, Outcome::cancelled, false);
    return;
  }
  if (const auto known = context_.environment.outcome_of(id)) {
    unresolved_.erase(id);
    settle(now, id, outcome_of(*known), ended_now);
  } else if (asked_.insert(id).second) {
    ask_outcome(now, id);
  }
}

void DependencyResolver::ask_outcome(Ms now, const std::string& id) {
  context_.store.get(
      now, Rank::launch, wire::job_outcome_key(id),
      context_.guarded([this, id](Ms t, int status, std::string_view body) {
        asked_.erase(id);
        const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
        const auto record = item ? wire::decode_job_outcome(item->value) : std::nullopt;
        if (!record) {
          resolve_at_ = std::max(resolve_at_, t + kStoreRetryDelayMs);
          return;
        }
        const auto unresolved = unresolved_.extract(id);
        settle(t, id, outcome_of(*record), !unresolved.empty() && unresolved.mapped());
      }));
}

void DependencyResolver::settle(Ms now, const std::string& id, Outcome outcome, bool ended_now) {
  const auto consequences = graph_.settle(id, outcome);
  for (const auto& released : consequences.released) release(now, released, id, ended_now);
  for (const auto& cancelled : consequences.cancelled) cancel(now, cancelled, id);
}

void DependencyResolver::release(Ms now, const std::string& id, const std::string& after,
                                 bool ended_now) {
  auto* job = state_.jobs.find(id);
  if (job == nullptr) return;
  job->waits = false;
  if (ended_now) job->seen = now;
  context_.log(Event::job_released, id, after);
  state_.placement_needed = true;
}

void DependencyResolver::cancel(Ms now, const std::string& id, const std::string& cause) {
  auto* job = state_.jobs.find(id);
  if (job == nullptr || job->cancelled) return;
  context_.log(Event::job_cancelled_with, id, cause);
  listener_.on_dependency_cancelled(now, *job);
}

void DependencyResolver::look_for_outcome(const std::string& id) {
  if (graph_.is_awaited(id)) unresolved_[id] = true;
}

}  // namespace hitchfront::core
