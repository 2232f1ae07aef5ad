// Summary of the logs of several controllers: terms, takeovers, outages, what was lost and
// regained, in the order of time. Reads JSON lines as the service writes them, and as earlier
// versions did. No I/O but the streams that it is given.
#pragma once
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "telemetry/log_record.hpp"

namespace hitchfront::telemetry {

class LogSummary {
 public:
  // Any number of files, of one controller or of several, in any order.
  void read(std::istream& in);
  // For people, one event a line.
  std::string render() const;
  std::size_t records() const { return records_.size(); }
  // Lines that are no records.
  std::size_t unparsed_lines() const { return unparsed_lines_; }
  // How far each node's clock is ahead of the one that led most often, ms: known from who led and
  // when the others saw it. Below what delays explain: 0.
  std::map<std::string, std::int64_t> clock_offsets() const;

 private:
  std::string header(const std::vector<LogRecord>& sorted_records,
                     const std::map<std::string, std::int64_t>& ahead) const;

  std::vector<LogRecord> records_;
  std::size_t unparsed_lines_ = 0;
};

}  // namespace hitchfront::telemetry
