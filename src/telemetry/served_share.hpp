// Detects starvation: tracks the share of jobs that were started, by job class, by team, and for
// the largest jobs of each class (telemetry/large_job_classifier). Counts jobs that have ended,
// with exponentially decaying weight, and unfinished ones that have started or have waited for at
// least `due_wait`. Kept by the leader since its takeover. Performs no I/O and reads no clock:
// `now` is monotonic time in milliseconds.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hitchfront::telemetry {

enum class Grouping : std::uint8_t { job_class, team, large };
const char* name(Grouping grouping);

class ServedShare {
 public:
  using Ms = std::int64_t;  // monotonic time in milliseconds
  struct Limits {
    std::size_t max_names;  // per grouping; all further names share the row "other"
    Ms due_wait;            // a job that has waited this long should have started
    Ms half_life;           // half-life of the weight of an ended job
    double min_share;       // a lower share indicates starvation
    Ms low_log_interval;    // between log lines of a row with a low share, and before the first
  };
  struct Row {
    Grouping grouping = Grouping::job_class;
    std::string name;
    double accepted = 0, started = 0, done = 0, cancelled = 0;  // jobs since the takeover
    std::size_t waiting = 0;  // unfinished jobs that have not started
    double oldest_s = 0;      // longest wait among those
    double share = 1;         // started share of ended and due jobs
  };
  struct JobLabels {
    const std::string& job_class;
    const std::string& team;
    bool large = false;  // among the largest jobs of its class
  };
  struct UnfinishedJob {
    JobLabels labels;
    bool started = false;
    Ms waited = 0;
  };

  explicit ServedShare(Limits limits) : limits_(limits) {}
  void accepted(const JobLabels& labels);
  void started(const JobLabels& labels);
  // `ran`: at least one of the job's tasks has run.
  void ended(Ms now, const JobLabels& labels, bool cancelled, bool ran);
  // Recomputes all rows, given all unfinished jobs, and returns those that are due for a starvation
  // log line.
  std::vector<Row> update(Ms now, const std::vector<UnfinishedJob>& jobs);
  std::vector<Row> rows() const;

 private:
  struct GroupState {
    Row row;
    double ended_started = 0, ended_all = 0;    // decaying; without jobs cancelled before they ran
    double due_jobs = 0, due_started_jobs = 0;  // unfinished, as of the last update
    Ms decayed_at = 0, low_since = 0, logged_at = 0;  // 0: unset
  };
  GroupState& group_of(Grouping grouping, const std::string& name);
  void decay(Ms now, GroupState& group) const;
  static void reset_current_counts(GroupState& group);
  void count_unfinished(const UnfinishedJob& job, GroupState& group) const;
  bool is_due_for_logging(Ms now, GroupState& group) const;
  template <class F>
  void for_each_group(const JobLabels& labels, F f) {
    f(group_of(Grouping::job_class, labels.job_class));
    f(group_of(Grouping::team, labels.team));
    if (labels.large) f(group_of(Grouping::large, labels.job_class));
  }

  Limits limits_;
  std::map<std::pair<Grouping, std::string>, GroupState> groups_;
};

}  // namespace hitchfront::telemetry
