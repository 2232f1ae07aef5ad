// Tells together what happens per machine, job or request: at a fleet of 1,300 machines the single
// lines of an ordinary day hide its takeovers. Time comes in; pure.
#pragma once
#include <array>
#include <cstdint>
#include <vector>

#include "telemetry/events.hpp"

namespace hitchfront::telemetry {

class EventAggregator {
 public:
  using Ms = std::int64_t;
  // What is to be written for the line now: itself, and perhaps a summary that has become due.
  std::vector<Entry> take(Ms now, const Line& line);
  // Summaries that have become due without a new line.
  std::vector<Entry> tick(Ms now);

 private:
  // A kind's first summary comes a second after its first line, the next after twice as long, and
  // so on up to a minute; a surge is told at once, and a kind that has been quiet for a minute
  // begins anew.
  struct Group {
    std::uint64_t count = 0, last_count = 0;
    Ms since = 0, due = 0, period = 0, logged_at = 0;
    std::vector<std::vector<std::string>> listed;  // by field
    std::vector<Counts> counted;
    std::vector<std::int64_t> added;
  };
  void add(Ms now, const Line& line, Group& g);
  Entry summary(Ms now, const EventSpec& spec, Group& g);
  bool due(Ms now, const Group& g) const;

  std::array<Group, kEvents> groups_;
};

}  // namespace hitchfront::telemetry
