#include "api/dependency_search.hpp"

#include <utility>

namespace hitchfront::core {

void DependencySearch::start(Ms now, JobRecords& records, const UnfinishedJobCache& cache,
                             std::vector<std::string> dependencies, OnFinished on_finished) {
  const std::shared_ptr<DependencySearch> search(
      new DependencySearch(records, cache, std::move(dependencies), std::move(on_finished)));
  search->run(now);
}

DependencySearch::DependencySearch(JobRecords& records, const UnfinishedJobCache& cache,
                                   std::vector<std::string> dependencies, OnFinished on_finished)
    : records_(records),
      cache_(cache),
      pending_(std::move(dependencies)),
      on_finished_(std::move(on_finished)) {}

void DependencySearch::run(Ms now) {
  while (!pending_.empty()) {
    const auto job = std::move(pending_.back());
    pending_.pop_back();
    if (!visited_.insert(job).second) continue;
    if (visit(now, job) != VisitResult::next) return;
  }
  finish(now, DependencyState::none_cancelled);
}

// A job starts only after all of its dependencies are done, so those of a job that is done need not
// be visited.
DependencySearch::VisitResult DependencySearch::visit(Ms now, const std::string& job) {
  if (records_.is_known_cancelled(job)) return finish(now, DependencyState::some_cancelled);
  if (records_.known_outcome(job)) return VisitResult::next;
  if (const auto* cached = cache_.find(job)) {
    if (cached->cancelled) return finish(now, DependencyState::some_cancelled);
    enqueue(cached->dependencies);
    return VisitResult::next;
  }
  records_.look_up(now, job, [self = shared_from_this()](Ms t, const JobLookup& lookup) {
    if (self->visit_stored(t, lookup) == VisitResult::next) self->run(t);
  });
  return VisitResult::waiting;
}

DependencySearch::VisitResult DependencySearch::visit_stored(Ms now, const JobLookup& lookup) {
  if (lookup.failed || !lookup.exists()) return finish(now, DependencyState::unknown);
  if (lookup.cancelled()) return finish(now, DependencyState::some_cancelled);
  if (lookup.unfinished) enqueue(lookup.unfinished->job.dependencies);
  return VisitResult::next;
}

void DependencySearch::enqueue(const std::vector<std::string>& dependencies) {
  pending_.insert(pending_.end(), dependencies.begin(), dependencies.end());
}

DependencySearch::VisitResult DependencySearch::finish(Ms now, DependencyState state) {
  on_finished_(now, state);
  return VisitResult::finished;
}

}  // namespace hitchfront::core
