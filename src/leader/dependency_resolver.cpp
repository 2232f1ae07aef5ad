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

Outcome to_outcome(const wire::JobOutcome& record) {
  return record.cancelled ? Outcome::cancelled : Outcome::done;
}

}  // namespace

void DependencyResolver::add(JobState& job) {
  if (!job.spec.dependencies.empty() && !job.cancelled) {
    job.blocked = true;
    graph_.add(job.spec.id, job.spec.dependencies);
    for (const auto& dependency : job.spec.dependencies) unresolved_.emplace(dependency, false);
    context_.log(Event::job_waits, job.spec.id, graph_.first_awaited(job.spec.id));
  }
  inherit_priority(job);
}

void DependencyResolver::inherit_priority(const JobState& job) {
  std::vector<const JobState*> pending = {&job};
  while (!pending.empty()) {
    const auto* dependent = pending.back();
    pending.pop_back();
    for (const auto& id : dependent->spec.dependencies) {
      auto* dependency = state_.jobs.find(id);
      if (dependency == nullptr || dependency->priority >= dependent->priority) continue;
      dependency->priority = dependent->priority;
      pending.push_back(dependency);
      state_.placement_needed = true;
    }
  }
}

// A dependency that is not among the unfinished jobs has ended, or its record has not been read
// yet. Its outcome is looked up until one of the two is known. A job is released only by a stored
// outcome.
void DependencyResolver::resolve(Ms now) {
  if (!state_.loaded || unresolved_.empty() || now < next_resolve_at_) return;
  next_resolve_at_ = now + kTickIntervalMs;
  const auto unresolved = unresolved_;
  for (const auto& [id, ended_now] : unresolved) resolve_outcome(now, id, ended_now);
}

void DependencyResolver::resolve_outcome(Ms now, const std::string& id, bool ended_now) {
  if (const auto* job = state_.jobs.find(id)) {
    unresolved_.erase(id);
    if (job->cancelled) apply_outcome(now, id, Outcome::cancelled, false);
    return;
  }
  if (const auto known = context_.environment.outcome_of(id)) {
    unresolved_.erase(id);
    apply_outcome(now, id, to_outcome(*known), ended_now);
  } else if (pending_reads_.insert(id).second) {
    read_outcome(now, id);
  }
}

void DependencyResolver::read_outcome(Ms now, const std::string& id) {
  context_.store.get(
      now, Rank::launch, wire::job_outcome_key(id),
      context_.guarded([this, id](Ms received_at, int status, std::string_view body) {
        pending_reads_.erase(id);
        const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
        const auto record = item ? wire::decode_job_outcome(item->value) : std::nullopt;
        if (!record) {
          next_resolve_at_ = std::max(next_resolve_at_, received_at + kStoreRetryDelayMs);
          return;
        }
        const auto unresolved = unresolved_.extract(id);
        apply_outcome(received_at, id, to_outcome(*record),
                      !unresolved.empty() && unresolved.mapped());
      }));
}

void DependencyResolver::apply_outcome(Ms now, const std::string& id, Outcome outcome,
                                       bool ended_now) {
  const auto consequences = graph_.settle(id, outcome);
  for (const auto& released : consequences.released) release(now, released, id, ended_now);
  for (const auto& cancelled : consequences.cancelled) cancel(now, cancelled, id);
}

void DependencyResolver::release(Ms now, const std::string& id, const std::string& dependency,
                                 bool ended_now) {
  auto* job = state_.jobs.find(id);
  if (job == nullptr) return;
  job->blocked = false;
  if (ended_now) job->ready_at = now;
  context_.log(Event::job_released, id, dependency);
  state_.placement_needed = true;
}

void DependencyResolver::cancel(Ms now, const std::string& id, const std::string& dependency) {
  auto* job = state_.jobs.find(id);
  if (job == nullptr || job->cancelled) return;
  context_.log(Event::job_cancelled_with, id, dependency);
  listener_.on_dependency_cancelled(now, *job);
}

void DependencyResolver::schedule_outcome_lookup(const std::string& id) {
  if (graph_.is_awaited(id)) unresolved_[id] = true;
}

}  // namespace hitchfront::core
