// Writes the core's events to the log with spdlog, as text or JSON.
#pragma once
#include <string>
#include <vector>

#include "telemetry/event_aggregator.hpp"

namespace hitchfront::net {

enum class LogFormat { text, json };

// Sets up spdlog's default logger, which writes to standard error. The environment variable
// LOG_LEVEL sets its level (error, info or debug; info if unset or anything else).
void set_up_log(const std::string& node, LogFormat format);

// Aggregates frequent events and writes the resulting entries. `now` is in milliseconds of the
// steady clock.
class Log {
 public:
  void record(std::int64_t now, const telemetry::Line& line) {
    write(aggregator_.process(now, line));
  }
  // Writes summaries that have become due. To be called several times a second.
  void tick(std::int64_t now) { write(aggregator_.tick(now)); }
  // Lines written since the last call.
  std::size_t take_line_count() { return std::exchange(lines_written_, 0); }

 private:
  void write(const std::vector<telemetry::Entry>& entries);
  telemetry::EventAggregator aggregator_;
  std::size_t lines_written_ = 0;
};

}  // namespace hitchfront::net
