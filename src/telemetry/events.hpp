// Every event that the service logs: name, level, fields and meaning. Text, JSON lines, the
// summaries, `hitchfront log explain` and the page in docs/operations.md all follow the table,
// which stands in parts in events_*.cpp. No I/O.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace hitchfront::telemetry {

// How urgent a line of the log is. Not the feature level of the stored state.
enum class Level : std::uint8_t { error, info, debug };
std::string_view name(Level level);

enum class Event : std::uint8_t {
  node_started,
  node_cannot_start,
  node_files_short,
  leader_elected,
  leader_followed,
  leader_lost,
  leader_former_ended,
  outage_abstentions,
  leader_fenced,
  leader_unfenced,
  store_down,
  store_up,
  store_writes,
  store_too_large,
  takeover_loaded,
  takeover_types_learned,
  takeover_reconciled,
  allocation_unreadable,
  allocation_log_complete,
  member_announced,
  level_active,
  level_held,
  level_switched,
  level_migrated,
  level_unsupported,
  state_lost,
  state_gathered,
  state_restored,
  state_recovered,
  state_waits,
  served_low,
  recovery_abandoned,
  cloud_down,
  cloud_up,
  cloud_malformed,
  policy_chosen,
  selection_replayed,
  fleet_state,
  job_unreadable,
  job_quarantined,
  job_cancelled,
  job_waits,
  job_released,
  job_cancelled_with,
  job_terminated,
  job_done,
  machine_faulty,
  machine_slow,
  machine_registered,
  machine_restarted,
  machine_termination_notice,
  machine_lost,
  machine_unreachable,
  machine_reachable,
  machine_lease_refused,
  machine_vanished,
  machine_failed,
  machine_scaled_out,
  machine_refused,
  machine_released,
  machine_drained,
  capacity_freed,
  relay_passing,
  request_refused,
  task_launched,
  task_ended,
  task_unexpected,
  log_unwritten,
};
inline constexpr std::size_t kEvents = static_cast<std::size_t>(Event::log_unwritten) + 1;

// What a summary of several events does with a field: lists a few values, counts equal values, adds
// numbers up, or leaves it to the single lines.
enum class Aggregation : std::uint8_t { none, listed, counted, summed };
enum class Kind : std::uint8_t { text, integer, number, boolean };
std::string_view name(Kind kind);

struct FieldSpec {
  const char* name = "";
  Kind kind = Kind::text;
  Aggregation aggregation = Aggregation::none;
};

// The fields of an event, in the order in which a Line has their values.
class FieldList {
 public:
  static constexpr std::size_t kMaxSize = 11;
  constexpr FieldList(std::initializer_list<FieldSpec> fields) : size_(fields.size()) {
    std::copy(fields.begin(), fields.end(), fields_.begin());
  }
  constexpr std::size_t size() const { return size_; }
  constexpr bool empty() const { return size_ == 0; }
  constexpr const FieldSpec& operator[](std::size_t i) const { return fields_[i]; }
  constexpr const FieldSpec* begin() const { return fields_.data(); }
  constexpr const FieldSpec* end() const { return fields_.data() + size_; }

 private:
  std::array<FieldSpec, kMaxSize> fields_{};
  std::size_t size_;
};

struct EventSpec {
  Event event{};
  const char* name = "";
  Level level = Level::info;
  // Logged as a summary at `level`, each single event at `debug`: what happens per machine, job or
  // request.
  bool aggregated = false;
  FieldList fields{};
  const char* meaning = "";
};
const std::vector<EventSpec>& events();  // in the order of Event
const EventSpec& spec(Event event);

using Counts = std::map<std::string, std::uint64_t>;
using Value =
    std::variant<std::string, std::int64_t, double, bool, std::vector<std::string>, Counts>;

// Whatever the core has at hand, as a field's value.
template <class T>
Value value(T&& v) {
  using U = std::remove_cvref_t<T>;
  if constexpr (std::is_same_v<U, bool>)
    return v;
  else if constexpr (std::is_integral_v<U>)
    return static_cast<std::int64_t>(v);
  else if constexpr (std::is_floating_point_v<U>)
    return static_cast<double>(v);
  else
    return std::string(std::forward<T>(v));
}

// One event: values in the order of its fields.
struct Line {
  Event event{};
  std::vector<Value> values;
};
template <class... T>
Line line(Event event, T&&... values) {
  Line l{event, {}};
  l.values.reserve(sizeof...(values));
  (l.values.push_back(value(std::forward<T>(values))), ...);
  return l;
}
// Whether the line has just the fields, of just the kinds, that the table says.
bool matches_spec(const Line& line);

// A summary's event name is that of its events and this.
inline constexpr std::string_view kSummarySuffix = ".summary";

// A line as it is written: of a single event, or the summary of several.
struct Entry {
  Level level = Level::info;
  std::string event;
  std::vector<std::pair<std::string, Value>> fields;
};
// The entry of a single event, at the level of single lines: debug where the event is aggregated.
Entry entry(const Line& line);

// leader.elected term=3. Texts with blanks, quotes or controls are quoted as JSON strings.
std::string text(const Entry& entry);
// One JSON object without a line's end. `time`: RFC 3339 as the caller formats it.
std::string json_line(const Entry& entry, std::string_view time, std::string_view node);

// The table of docs/operations.md, in Markdown.
std::string markdown_table();

}  // namespace hitchfront::telemetry
