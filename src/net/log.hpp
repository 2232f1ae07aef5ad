// The core's events as lines of the log: spdlog is the sink, text or JSON the form.
#pragma once
#include <string>
#include <vector>

#include "telemetry/event_aggregator.hpp"

namespace hitchfront::net {

enum class LogFormat { text, json };

// Sets spdlog's default logger up: standard error, the level that LOG_LEVEL names (error, info,
// debug; anything else and nothing: info).
void set_up_log(const std::string& node, LogFormat format);

// Folds what happens per machine, and writes. Times are steady milliseconds, as the core has them.
class Log {
 public:
  void take(std::int64_t now, const telemetry::Line& line) {
    write(aggregator_.process(now, line));
  }
  void tick(std::int64_t now) { write(aggregator_.tick(now)); }
  std::size_t take_written() { return std::exchange(written_, 0); }

 private:
  void write(const std::vector<telemetry::Entry>& entries);
  telemetry::EventAggregator aggregator_;
  std::size_t written_ = 0;
};

}  // namespace hitchfront::net
