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
      open_(std::move(dependencies)),
      on_finished_(std::move(on_finished)) {}

void DependencySearch::run(Ms now) {
  while (!open_.empty()) {
    const auto job = std::move(open_.back());
    open_.pop_back();
    if (!seen_.insert(job).second) continue;
    if (visit(now, job) != Step::next) return;
  }
  finish(now, DependencyState::none_cancelled);
}

// A job that is done was started after all that it depends on was done: nothing before it has to be
// looked at.
DependencySearch::Step DependencySearch::visit(Ms now, const std::string& job) {
  if (records_.is_known_cancelled(job)) return finish(now, DependencyState::some_cancelled);
  if (records_.known_outcome(job)) return Step::next;
  if (const auto* cached = cache_.find(job)) {
    if (cached->cancelled) return finish(now, DependencyState::some_cancelled);
    add(cached->awaits);
    return Step::next;
  }
  records_.look_up(now, job, [self = shared_from_this()](Ms t, const FoundJob& found) {
    if (self->visit_stored(t, found) == Step::next) self->run(t);
  });
  return Step::waiting;
}

DependencySearch::Step DependencySearch::visit_stored(Ms now, const FoundJob& found) {
  if (found.failed || !found.exists()) return finish(now, DependencyState::unknown);
  if (found.cancelled()) return finish(now, DependencyState::some_cancelled);
  if (found.unfinished) add(found.unfinished->job.awaits);
  return Step::next;
}

void DependencySearch::add(const std::vector<std::string>& dependencies) {
  open_.insert(open_.end(), dependencies.begin(), dependencies.end());
}

DependencySearch::Step DependencySearch::finish(Ms now, DependencyState state) {
  on_finished_(now, state);
  return Step::finished;
}

}  // namespace hitchfront::core
