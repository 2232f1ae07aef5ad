#include "simulation/service_quality.hpp"

#include <algorithm>
#include <map>

namespace hitchfront::testing {
namespace {

constexpr std::size_t kLargeJobsPart = 10;  // one in so many
constexpr double kServedShare = 0.5;

struct Served {
  int done = 0;
  int jobs = 0;
};

bool counts(const InvariantChecker& checker, const std::string& id,
            const InvariantChecker::Job& job) {
  return job.accepted && !checker.is_called_off(id) && !job.always_fails &&
         job.spec.form != wire::JobForm::service;
}

}  // namespace

std::vector<std::string> large_jobs(const InvariantChecker& checker) {
  struct Size {
    double cpus;
    std::string id;
  };
  std::map<std::string, std::vector<Size>> by_class;
  for (const auto& [id, job] : checker.jobs)
    if (counts(checker, id, job))
      by_class[job.spec.job_class].push_back({job.spec.cpus * job.spec.tasks, id});
  std::vector<std::string> out;
  for (auto& [name, sizes] : by_class) {
    std::sort(sizes.begin(), sizes.end(), [](const Size& a, const Size& b) {
      return a.cpus != b.cpus ? a.cpus > b.cpus : a.id < b.id;
    });
    const auto large = std::max<std::size_t>(1, sizes.size() / kLargeJobsPart);
    for (std::size_t i = 0; i < large; ++i) out.push_back(sizes[i].id);
  }
  return out;
}

std::vector<std::string> late_to_begin(const InvariantChecker& checker, std::int64_t now,
                                       std::int64_t most_ms) {
  std::vector<std::string> out;
  for (const auto& id : large_jobs(checker)) {
    const auto& job = checker.jobs.at(id);
    if (!job.spec.dependencies.empty()) continue;
    const auto wait = (job.began_at < 0 ? now : job.began_at) - job.accepted_at;
    if (wait > most_ms) out.push_back(id + " began after " + std::to_string(wait) + " ms");
  }
  return out;
}

std::vector<std::string> unserved(const InvariantChecker& checker) {
  std::map<std::string, Served> served;
  const auto large = large_jobs(checker);
  for (const auto& [id, job] : checker.jobs) {
    if (!counts(checker, id, job)) continue;
    std::vector<std::string> groups = {"class " + job.spec.job_class, "team " + job.spec.team};
    if (std::find(large.begin(), large.end(), id) != large.end())
      groups.push_back("class " + job.spec.job_class + "'s largest");
    for (const auto& group : groups) {
      served[group].done += job.done.size() == job.spec.tasks ? 1 : 0;
      ++served[group].jobs;
    }
  }
  std::vector<std::string> out;
  for (const auto& [group, n] : served)
    if (n.done < kServedShare * n.jobs)
      out.push_back(group + ": " + std::to_string(n.done) + " of " + std::to_string(n.jobs));
  return out;
}

}  // namespace hitchfront::testing
