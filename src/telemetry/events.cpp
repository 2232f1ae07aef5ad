#include "telemetry/events.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "telemetry/event_tables.hpp"

namespace hitchfront::telemetry {
namespace {

// Formats with up to six significant digits, independently of the locale.
std::string number_text(double v) {
  char buffer[32];
  const auto [end, ec] =
      std::to_chars(buffer, buffer + sizeof(buffer), v, std::chars_format::general, 6);
  return ec == std::errc() ? std::string(buffer, end) : "0";
}

nlohmann::json to_json(const Value& v) {
  return std::visit([](const auto& x) { return nlohmann::json(x); }, v);
}

bool needs_no_quotes(std::string_view s) {
  constexpr char kDelete = 127;
  return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
    return c > ' ' && c < kDelete && c != '"' && c != '=';
  });
}

std::string quoted_if_needed(const std::string& s) {
  if (needs_no_quotes(s)) return s;
  return nlohmann::json(s).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

std::string to_text(const Value& v) {
  struct Writer {
    std::string operator()(const std::string& s) const { return quoted_if_needed(s); }
    std::string operator()(std::int64_t n) const { return std::to_string(n); }
    std::string operator()(double d) const { return number_text(d); }
    std::string operator()(bool b) const { return b ? "true" : "false"; }
    std::string operator()(const std::vector<std::string>& list) const {
      std::string out;
      for (const auto& s : list) out += (out.empty() ? "" : ",") + s;
      return quoted_if_needed(out);
    }
    std::string operator()(const Counts& counts) const {
      std::string out;
      for (const auto& [key, count] : counts)
        out += (out.empty() ? "" : ",") + key + ":" + std::to_string(count);
      return quoted_if_needed(out);
    }
  };
  return std::visit(Writer{}, v);
}

}  // namespace

std::string_view name(Level level) {
  switch (level) {
    case Level::error:
      return "error";
    case Level::info:
      return "info";
    case Level::debug:
      return "debug";
  }
  return "?";
}
std::string_view name(Kind kind) {
  switch (kind) {
    case Kind::text:
      return "text";
    case Kind::integer:
      return "integer";
    case Kind::number:
      return "number";
    case Kind::boolean:
      return "boolean";
  }
  return "?";
}

const std::vector<EventSpec>& events() {
  static const std::vector<EventSpec> table = [] {
    std::vector<EventSpec> by_event(kEvents);
    for (const auto part :
         {tables::controller_events(), tables::leader_events(), tables::store_events(),
          tables::jobs_events(), tables::machines_events()})
      for (const auto& row : part) by_event[static_cast<std::size_t>(row.event)] = row;
    return by_event;
  }();
  return table;
}

const EventSpec& spec(Event event) {
  return events()[static_cast<std::size_t>(event)];
}

bool matches_spec(const Line& l) {
  const auto& s = spec(l.event);
  if (l.values.size() != s.fields.size()) return false;
  for (std::size_t i = 0; i < l.values.size(); ++i)
    if (l.values[i].index() != static_cast<std::size_t>(s.fields[i].kind)) return false;
  return true;
}

Entry entry(const Line& l) {
  const auto& s = spec(l.event);
  Entry e;
  e.level = s.aggregated ? Level::debug : s.level;
  e.event = s.name;
  for (std::size_t i = 0; i < l.values.size() && i < s.fields.size(); ++i)
    e.fields.emplace_back(s.fields[i].name, l.values[i]);
  return e;
}

std::string text(const Entry& e) {
  std::string out = e.event;
  for (const auto& [name, v] : e.fields) out += " " + name + "=" + to_text(v);
  return out;
}

std::string json_line(const Entry& e, std::string_view time, std::string_view node) {
  nlohmann::ordered_json o;
  o["time"] = time;
  o["level"] = name(e.level);
  o["node"] = node;
  o["event"] = e.event;
  auto& fields = o["fields"] = nlohmann::ordered_json::object();
  for (const auto& [name, v] : e.fields) fields[name] = to_json(v);
  // Names are external input: invalid UTF-8 is replaced, as dump() would throw otherwise.
  return o.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

namespace {

std::string markdown_fields(const FieldList& fields) {
  if (fields.empty()) return "none";
  std::string out;
  for (const auto& f : fields) {
    if (!out.empty()) out += ", ";
    out += "`" + std::string(f.name) + "` " + std::string(name(f.kind));
  }
  return out;
}

}  // namespace

std::string markdown_table() {
  std::string out = "| event | level | fields | means |\n|---|---|---|---|\n";
  for (const auto& s : events()) {
    const std::string level =
        (s.aggregated ? "debug, summary at " : "") + std::string(name(s.level));
    out += "| `" + std::string(s.name) + "` | " + level + " | " + markdown_fields(s.fields) +
           " | " + s.meaning + " |\n";
  }
  return out;
}

}  // namespace hitchfront::telemetry
