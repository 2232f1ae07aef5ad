// The story that the logs of several controllers tell together: terms, takeovers, outages, what was
// lost and regained, in the order of time. Reads JSON lines as the service writes them. Pure.
#pragma once
#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hitchfront::telemetry {

class LogSummary {
 public:
  // Any number of files, of one controller or of several, in any order.
  void read(std::istream& in);
  // For people, one event a line.
  std::string render() const;
  std::size_t records() const { return records_.size(); }
  std::size_t not_understood() const { return bad_; }
  // How far each node's clock is ahead of the one that led most often, ms: known from who led and
  // when the others saw it. Below what delays explain: 0.
  std::map<std::string, std::int64_t> clocks() const;

 private:
  struct Record {
    std::int64_t at = 0;  // ms since 1970, by the node's clock
    std::string node, event;
    nlohmann::json fields;
  };
  std::vector<Record> records_;
  std::size_t bad_ = 0;
};

// Milliseconds since 1970 of YYYY-MM-DDTHH:MM:SS.mmm (UTC, with or without Z), or -1.
std::int64_t parse_time(const std::string& text);

}  // namespace hitchfront::telemetry
