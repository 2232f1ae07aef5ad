// Summaries of what happens per machine, job or request: at a fleet of 1,300 machines the single
// lines of an ordinary day hide its takeovers. No I/O and no clock: `now` is steady milliseconds
// and never goes back.
#pragma once
#include <array>
#include <cstdint>
#include <vector>

#include "telemetry/events.hpp"

namespace hitchfront::telemetry {

class EventAggregator {
 public:
  using Ms = std::int64_t;
  // The entries to be written for the line now: itself, and a summary if that has become due.
  std::vector<Entry> process(Ms now, const Line& line);
  // Summaries that have become due without a new line. To be called several times a second.
  std::vector<Entry> tick(Ms now);

 private:
  // An event's first summary comes a second after its first line, the next after twice as long, and
  // so on up to a minute; a surge is logged at once, and an event that has been quiet for a minute
  // begins anew.
  struct Group {
    std::uint64_t count = 0;       // lines since the last summary
    std::uint64_t last_count = 0;  // lines in the last summary
    Ms first_line_at = 0;          // the first of the present lines
    Ms due_at = 0;
    Ms period_ms = 0;  // 0: quiet
    Ms logged_at = 0;
    // By field, each as its role in the table says.
    std::vector<std::vector<std::string>> listed;
    std::vector<Counts> counted;
    std::vector<std::int64_t> summed;
  };
  void add(Ms now, const Line& line, Group& group);
  static void add_field(Aggregation aggregation, const Value& value, std::size_t field,
                        Group& group);
  Entry summary(Ms now, const EventSpec& spec, Group& group);
  bool is_summary_due(Ms now, const Group& group) const;

  std::array<Group, kEvents> groups_;
};

}  // namespace hitchfront::telemetry
