// The share of demand that is served, by class of jobs, by team, and for the largest jobs of each
// class (telemetry/large_job_classifier): of the jobs that have waited long enough to have had
// their turn, or have ended, how many were started. No I/O and no clock: `now` is steady
// milliseconds. Kept by the leader since its takeover; jobs that have ended count less and less.
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
  using Ms = std::int64_t;  // steady time in milliseconds
  struct Limits {
    std::size_t max_names;  // of each kind; the rest is counted together, as "other"
    Ms due_wait;            // a job that has waited this long has had its turn
    Ms half_life;           // a job that has ended counts half after this long
    double min_share;       // less than this is low
    Ms low_log_interval;  // a row is due for logging once it was low for this long, and again each
                          // time this has passed
  };
  struct Row {
    Grouping grouping = Grouping::job_class;
    std::string name;
    double accepted = 0, started = 0, done = 0, cancelled = 0;  // jobs, since the takeover
    std::size_t waiting = 0;                                    // unfinished and not started
    double oldest_s = 0;                                        // of those, the longest wait
    double share = 1;  // started of what is due or has ended
  };
  struct JobLabels {
    const std::string& job_class;
    const std::string& team;
    bool large = false;  // of its class
  };
  struct UnfinishedJob {  // an unfinished job
    JobLabels labels;
    bool started = false;
    Ms waited = 0;
  };

  explicit ServedShare(Limits limits) : limits_(limits) {}
  void accepted(const JobLabels& labels);
  void started(const JobLabels& labels);
  // `ran`: any of its tasks did.
  void ended(Ms now, const JobLabels& labels, bool cancelled, bool ran);
  // Brings the rows up to date with all unfinished jobs, and returns those that have been low for
  // long and are to be logged now.
  std::vector<Row> update(Ms now, const std::vector<UnfinishedJob>& open);
  std::vector<Row> rows() const;

 private:
  struct GroupState {
    Row row;
    double ended_started = 0, ended_all = 0;    // decaying; cancelled before they ran don't count
    double due_jobs = 0, due_started_jobs = 0;  // of the present look
    Ms decayed_at = 0, low_since = 0, logged_at = 0;  // 0: not
  };
  GroupState& group_of(Grouping grouping, const std::string& name);
  void decay(Ms now, GroupState& group) const;
  static void reset_current_counts(GroupState& group);
  void count_unfinished(const UnfinishedJob& open, GroupState& group) const;
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
