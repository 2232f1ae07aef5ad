// What a scale run measured: as JSON lines, a table, and plots.
#pragma once
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scale/options.hpp"

namespace hitchfront::scale {

// s. Within it urgent work is to start (the operators' plan).
inline constexpr double kUrgentStartS = 3.6;

// Times in seconds, by a logarithmic axis.
class Times {
 public:
  // Times up to `bound` are counted by themselves, not by bins.
  explicit Times(double bound = kUrgentStartS) : bound_(bound) {}
  void add(double seconds);
  std::uint64_t count() const { return count_; }
  // An upper bound of the time that this share did not exceed, by the axis' bins; 0: there is none.
  double quantile(double share) const;
  double share_within_bound() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  static constexpr unsigned kBins = 400;
  static constexpr double kLeast = 0.01, kMost = 1000;
  boost::histogram::histogram<std::tuple<Axis>> bins_{std::make_tuple(Axis(kBins, kLeast, kMost))};
  std::uint64_t count_ = 0, within_ = 0;
  double bound_;
};

// Of one controller, over the measured time.
struct ControllerLoad {
  std::string node;
  double processor = 0, processor_peak = 0;  // of one core; the peak over five seconds
  double memory_mb = 0;                      // the most seen
};

struct Result {
  Options options;
  double seconds = 0;
  std::uint64_t jobs = 0, jobs_accepted = 0, jobs_done = 0, refused = 0;
  std::uint64_t starts = 0;
  double workers_up = 0;  // on average
  std::size_t tasks_most = 0;
  std::map<std::string, Times> start_times;  // of tasks, by priority
  Times accept_times;
  double report_bytes_per_worker_s = 0, reports_per_s = 0, commands_per_s = 0;
  double store_requests_per_s = 0, store_writes_per_s = 0;
  std::uint64_t leases_lost = 0, leases_lost_in_cut = 0, leaders = 0;
  std::vector<ControllerLoad> controllers;
  std::vector<std::string> broken;  // rules, with how
};

nlohmann::json to_json(const Result& result);
std::string table(const Result& result);
// Writes DIRECTORY/progress.gp and .svg of DIRECTORY/progress.tsv by gnuplot, where there is one.
void plot(const std::string& directory);

}  // namespace hitchfront::scale
