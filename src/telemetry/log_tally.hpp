// Totals of machine, capacity and job events over a section of a log.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "telemetry/log_record.hpp"

namespace hitchfront::telemetry {

class LogTally {
 public:
  void add(const LogRecord& record);
  // The nonzero totals as human-readable text, one per line.
  std::vector<std::string> lines() const;

 private:
  using Totals = std::map<std::string, std::uint64_t>;
  static void merge(Totals& totals, const nlohmann::json& fields, const char* name);
  static std::string totals_text(const Totals& totals);
  void add_summary(const std::string& event, const nlohmann::json& fields);
  std::uint64_t count(const char* event) const;
  void machine_lines(std::vector<std::string>& out) const;
  void capacity_lines(std::vector<std::string>& out) const;
  void job_lines(std::vector<std::string>& out) const;

  Totals event_counts_;  // by event
  std::uint64_t machines_granted_ = 0, tasks_lost_ = 0, tasks_preempted_ = 0, tasks_drained_ = 0;
  Totals released_machines_, refused_requests_;  // by reason
  std::vector<std::string> faulty_machines_;     // slow ones included
  std::size_t policy_changes_ = 0;
  std::string last_policy_;
};

}  // namespace hitchfront::telemetry
