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

enum class By : std::uint8_t { job_class, team, large };
const char* name(By by);

class ServedShare {
 public:
  using Ms = std::int64_t;  // steady time in milliseconds
  struct Limits {
    std::size_t names;  // of each kind; the rest is counted together, as "other"
    Ms due;             // a job that has waited this long has had its turn
    Ms fade;            // a job that has ended counts half after this long
    double share;       // less than this is low
    Ms low_for;  // a row is due for logging once it was low for this long, and again each time
                 // this has passed
  };
  struct Row {
    By by = By::job_class;
    std::string name;
    double accepted = 0, started = 0, done = 0, cancelled = 0;  // jobs, since the takeover
    std::size_t waiting = 0;                                    // unfinished and not started
    double oldest_s = 0;                                        // of those, the longest wait
    double share = 1;  // started of what is due or has ended
  };
  struct Who {
    const std::string& job_class;
    const std::string& team;
    bool large = false;  // of its class
  };
  struct Open {  // an unfinished job
    Who who;
    bool started = false;
    Ms waited = 0;
  };

  explicit ServedShare(Limits limits) : limits_(limits) {}
  void accepted(const Who& who);
  void started(const Who& who);
  // `ran`: any of its tasks did.
  void ended(Ms now, const Who& who, bool cancelled, bool ran);
  // Brings the rows up to date with all unfinished jobs, and returns those that have been low for
  // long and are to be logged now.
  std::vector<Row> look(Ms now, const std::vector<Open>& open);
  std::vector<Row> rows() const;

 private:
  struct Tracked {
    Row row;
    double ended_started = 0, ended_all = 0;  // decaying; cancelled before they ran don't count
    double due = 0, due_started = 0;          // of the present look
    Ms decayed_at = 0, low_since = 0, logged_at = 0;  // 0: not
  };
  Tracked& tracked(By by, const std::string& name);
  void decay(Ms now, Tracked& t) const;
  static void clear_due(Tracked& t);
  void count_open(const Open& open, Tracked& t) const;
  bool is_due_for_logging(Ms now, Tracked& t) const;
  template <class F>
  void each(const Who& who, F f) {
    f(tracked(By::job_class, who.job_class));
    f(tracked(By::team, who.team));
    if (who.large) f(tracked(By::large, who.job_class));
  }

  Limits limits_;
  std::map<std::pair<By, std::string>, Tracked> tracked_;
};

}  // namespace hitchfront::telemetry
