// Merges the JSON logs of several controllers into one timeline of terms, failovers and outages,
// with totals of lost and added capacity. Accepts logs of earlier versions. Reads only the given
// streams.
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
  // Adds a log. May be called for any number of logs and controllers, in any order.
  void read(std::istream& in);
  // The timeline as human-readable text, one event per line.
  std::string render() const;
  std::size_t records() const { return records_.size(); }
  // Number of non-blank lines that are not log records.
  std::size_t unparsed_lines() const { return unparsed_lines_; }
  // By node, how far its clock is ahead of the reference clock, in milliseconds. The reference is
  // the node that led most often. Offsets of up to kMaxIgnoredClockOffsetMs are reported as 0.
  std::map<std::string, std::int64_t> clock_offsets() const;

 private:
  std::string header(const std::vector<LogRecord>& sorted_records,
                     const std::map<std::string, std::int64_t>& offsets) const;

  std::vector<LogRecord> records_;
  std::size_t unparsed_lines_ = 0;
};

}  // namespace hitchfront::telemetry
