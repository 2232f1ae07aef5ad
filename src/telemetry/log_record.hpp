// One line of a JSON log, and typed access to its fields. Names are the current ones, whatever
// version wrote the line.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace hitchfront::telemetry {

struct LogRecord {
  std::int64_t at = 0;  // ms since 1970, by the node's clock
  std::string node, event;
  nlohmann::json fields;
};

// Nothing: not a line of ours.
std::optional<LogRecord> parse_log_record(const std::string& line);

// Milliseconds since 1970 of YYYY-MM-DDTHH:MM:SS.mmm (UTC, with or without Z), or -1.
std::int64_t parse_time(const std::string& text);

// A field's value; 0 or "?" where it is missing or of another kind.
std::uint64_t count_field(const nlohmann::json& fields, const char* name);
double number_field(const nlohmann::json& fields, const char* name);
std::string text_field(const nlohmann::json& fields, const char* name);

}  // namespace hitchfront::telemetry
