// Parses a line of the JSON log and gives typed access to its fields. Names that earlier versions
// wrote are replaced by the current ones.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace hitchfront::telemetry {

struct LogRecord {
  std::int64_t at = 0;  // Unix time in milliseconds, by the node's clock
  std::string node, event;
  nlohmann::json fields;
};

// Returns nothing if the line is not a log record.
std::optional<LogRecord> parse_log_record(const std::string& line);

// Parses YYYY-MM-DDTHH:MM:SS[.mmm] in UTC, with or without a trailing Z, to Unix time in
// milliseconds. Returns -1 on failure.
std::int64_t parse_time(const std::string& text);

// Return the field's value, or 0 or "?" if it is missing or of another type.
std::uint64_t count_field(const nlohmann::json& fields, const char* name);
double number_field(const nlohmann::json& fields, const char* name);
std::string text_field(const nlohmann::json& fields, const char* name);

}  // namespace hitchfront::telemetry
