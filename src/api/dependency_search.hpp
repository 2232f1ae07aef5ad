// Whether a job has to be cancelled because one that it depends on, directly or through others, is.
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
  unknown,  // the store can't be asked, or does not know one of them
};

// One search, by what is stored. It keeps itself alive until it has called back, once.
class DependencySearch : public std::enable_shared_from_this<DependencySearch> {
 public:
  using OnFinished = std::function<void(Ms now, DependencyState state)>;
  static void start(Ms now, JobRecords& records, const UnfinishedJobCache& cache,
                    std::vector<std::string> dependencies, OnFinished on_finished);

 private:
  enum class Step { next, finished, waiting };
  DependencySearch(JobRecords& records, const UnfinishedJobCache& cache,
                   std::vector<std::string> dependencies, OnFinished on_finished);
  void run(Ms now);
  Step visit(Ms now, const std::string& job);
  Step visit_stored(Ms now, const FoundJob& found);
  void add(const std::vector<std::string>& dependencies);
  Step finish(Ms now, DependencyState state);

  JobRecords& records_;
  const UnfinishedJobCache& cache_;
  std::vector<std::string> open_;
  std::set<std::string> seen_;
  OnFinished on_finished_;
};

}  // namespace hitchfront::core
