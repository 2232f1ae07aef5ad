// Aggregates log events that occur per machine, job or request into periodic summaries, so that
// they do not obscure other events. Performs no I/O and reads no clock: `now` is monotonic
// time in milliseconds.
#pragma once
#include <array>
#include <cstdint>
#include <vector>

#include "telemetry/events.hpp"

namespace hitchfront::telemetry {

class EventAggregator {
 public:
  using Ms = std::int64_t;
  // Adds an event and returns the entries to write: the event itself, and its summary if one is
  // due.
  std::vector<Entry> process(Ms now, const Line& line);
  // Returns the summaries that have become due since the last call. Called several times a second.
  std::vector<Entry> tick(Ms now);

 private:
  // State of one aggregated event. The summary period starts at kMinAggregationPeriodMs and doubles
  // with each summary up to kMaxAggregationPeriodMs; a surge is summarized early and resets it. The
  // state is cleared when the last summary is kMaxAggregationPeriodMs old and no event followed it.
  struct Group {
    std::uint64_t count = 0;       // events since the last summary
    std::uint64_t last_count = 0;  // events in the last summary
    Ms first_line_at = 0;          // first event since the last summary
    Ms due_at = 0;
    Ms period_ms = 0;  // 0: inactive
    Ms logged_at = 0;  // time of the last summary
    // Indexed by field; only the one that the field's Aggregation selects is used.
    std::vector<std::vector<std::string>> listed;
    std::vector<Counts> counted;
    std::vector<std::int64_t> summed;
  };
  void add(Ms now, const Line& line, Group& group);
  static void add_field(Aggregation aggregation, const Value& value, std::size_t field,
                        Group& group);
  Entry summary(Ms now, const EventSpec& event_spec, Group& group);
  bool is_summary_due(Ms now, const Group& group) const;

  std::array<Group, kEvents> groups_;
};

}  // namespace hitchfront::telemetry
