// The unfinished jobs that the leader knows.
#pragma once
#include <memory>
#include <string>
#include <unordered_map>

#include "jobs/job_state.hpp"

namespace hitchfront::core {

class JobTable {
 public:
  JobState* find(const std::string& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
  }
  const JobState* find(const std::string& id) const {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
  }
  // Sets the job's index, which is never reused.
  JobState& add(const std::string& id, std::unique_ptr<JobState> job) {
    job->index = next_index_++;
    auto& entry = jobs_[id];
    entry = std::move(job);
    return *entry;
  }
  void remove(const std::string& id) { jobs_.erase(id); }
  std::size_t size() const { return jobs_.size(); }

  // Pairs of id and job, in no particular order.
  auto begin() { return jobs_.begin(); }
  auto end() { return jobs_.end(); }
  auto begin() const { return jobs_.begin(); }
  auto end() const { return jobs_.end(); }

 private:
  std::unordered_map<std::string, std::unique_ptr<JobState>> jobs_;
  std::uint64_t next_index_ = 1;
};

}  // namespace hitchfront::core
