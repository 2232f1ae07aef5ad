// Finds out whether a job must be cancelled because one of its direct or transitive dependencies is
// cancelled.
#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "api/job_records.hpp"
#include "api/unfinished_job_cache.hpp"

namespace hitchfront::core {

enum class DependencyState {
  none_cancelled,
  some_cancelled,
  unknown,  // the store is unavailable, or has no record of one of them
};

// A depth-first search of the stored jobs. Keeps itself alive until it has called `on_finished`,
// which it does exactly once.
class DependencySearch : public std::enable_shared_from_this<DependencySearch> {
 public:
  using OnFinished = std::function<void(Ms now, DependencyState state)>;
  static void start(Ms now, JobRecords& records, const UnfinishedJobCache& cache,
                    std::vector<std::string> dependencies, OnFinished on_finished);

 private:
  enum class VisitResult { next, finished, waiting };
  DependencySearch(JobRecords& records, const UnfinishedJobCache& cache,
                   std::vector<std::string> dependencies, OnFinished on_finished);
  void run(Ms now);
  VisitResult visit(Ms now, const std::string& job);
  VisitResult visit_stored(Ms now, const JobLookup& lookup);
  void enqueue(const std::vector<std::string>& dependencies);
  VisitResult finish(Ms now, DependencyState state);

  JobRecords& records_;
  const UnfinishedJobCache& cache_;
  std::vector<std::string> pending_;
  std::set<std::string> visited_;
  OnFinished on_finished_;
};

}  // namespace hitchfront::core
