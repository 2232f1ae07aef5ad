#include "telemetry/log_record.hpp"

#include <cstdio>
#include <ctime>
#include <utility>

#include "telemetry/former_names.hpp"

namespace hitchfront::telemetry {
using nlohmann::json;

std::int64_t parse_time(const std::string& text) {
  constexpr int kFieldsWithoutMs = 6;
  std::tm t{};
  int ms = 0;
  const int fields = std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3d", &t.tm_year, &t.tm_mon,
                                 &t.tm_mday, &t.tm_hour, &t.tm_min, &t.tm_sec, &ms);
  if (fields < kFieldsWithoutMs) return -1;
  t.tm_year -= 1900;
  t.tm_mon -= 1;
  return static_cast<std::int64_t>(timegm(&t)) * 1000 + ms;
}

std::optional<LogRecord> parse_log_record(const std::string& line) {
  auto object = json::parse(line, nullptr, false);
  const auto is_text = [&object](const char* name) {
    return object.contains(name) && object[name].is_string();
  };
  if (!object.is_object() || !is_text("time") || !is_text("node") || !is_text("event"))
    return std::nullopt;
  LogRecord record;
  record.at = parse_time(object["time"].get<std::string>());
  if (record.at < 0) return std::nullopt;
  record.node = object["node"].get<std::string>();
  record.event = object["event"].get<std::string>();
  const auto fields = object.find("fields");
  record.fields =
      fields != object.end() && fields->is_object() ? std::move(*fields) : json::object();
  use_current_names(record.event, record.fields);
  return record;
}

std::uint64_t count_field(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_number() && *it >= 0 ? it->get<std::uint64_t>() : 0;
}

double number_field(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_number() ? it->get<double>() : 0;
}

std::string text_field(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_string() ? it->get<std::string>() : "?";
}

}  // namespace hitchfront::telemetry
