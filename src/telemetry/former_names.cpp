#include "telemetry/former_names.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "telemetry/events.hpp"

namespace hitchfront::telemetry {
namespace {

constexpr auto kRenamedEvents = std::to_array<RenamedEvent>({
    {"outage.promised", "outage.abstentions"},
    {"leader.silent", "leader.fenced"},
    {"leader.speaks", "leader.unfenced"},
    {"takeover.settled", "takeover.reconciled"},
    {"roster.unreadable", "allocation_log.unreadable"},
    {"roster.whole", "allocation_log.complete"},
    {"level.active", "feature_level.active"},
    {"level.held", "feature_level.held"},
    {"level.switched", "feature_level.switched"},
    {"level.settled", "feature_level.migrated"},
    {"level.unsupported", "feature_level.unsupported"},
    {"state.rebuilt", "state.restored"},
    {"rebuild.given_up", "recovery.abandoned"},
    {"job.suspect", "job.quarantined"},
    {"job.withdrawn", "job.cancelled"},
    {"job.gone", "job.terminated"},
    {"machine.reports", "machine.registered"},
    {"machine.session", "machine.restarted"},
    {"machine.notice", "machine.termination_notice"},
    {"machine.deaf", "machine.unreachable"},
    {"machine.hears", "machine.reachable"},
    {"machine.withheld", "machine.lease_refused"},
    {"machine.rented", "machine.scaled_out"},
    {"machine.returned", "machine.released"},
    {"machine.emptied", "machine.drained"},
    {"room.made", "capacity.freed"},
});

constexpr auto kRenamedFields = std::to_array<RenamedField>({
    {"store.writes", "mark", "watermark"},
    {"store.writes", "final", "outcome"},
    {"store.writes", "roster", "allocation_log"},
    {"store.writes", "lead", "leadership"},
    {"takeover.loaded", "roster", "allocation_log"},
    {"takeover.loaded", "doubt", "unknown"},
    {"takeover.reconciled", "nowhere", "unplaced"},
    {"member.announced", "life", "process"},
    {"state.gathered", "copies", "replicas"},
    {"state.gathered", "finals", "outcomes"},
    {"fleet.state", "owed_waiting", "within_guarantee_waiting"},
    {"machine.registered", "session", "incarnation"},
    {"machine.restarted", "session", "incarnation"},
    {"machine.scaled_out", "asked", "requested"},
    {"machine.scaled_out", "got", "granted"},
    {"relay.passing", "way", "route"},
});

constexpr auto kRenamedValues = std::to_array<RenamedValue>({
    {"feature_level.held", "why", "mute", "unannounced"},
    {"machine.released", "why", "emptied", "drained"},
    {"machine.released", "why", "deaf", "unreachable"},
});

void rename_key(nlohmann::json& object, const char* former, const char* current) {
  const auto it = object.find(former);
  if (it == object.end() || object.contains(current)) return;
  auto value = std::move(*it);
  object.erase(it);
  object[current] = std::move(value);
}

void rename_value(nlohmann::json& fields, const RenamedValue& renamed) {
  const auto it = fields.find(renamed.field);
  if (it == fields.end()) return;
  if (it->is_object())
    rename_key(*it, renamed.former, renamed.current);
  else if (*it == renamed.former)
    *it = renamed.current;
}

std::string table_row(const std::string& former, const std::string& current) {
  return "| " + former + " | " + current + " |\n";
}

std::string in_code(std::string_view name) {
  return "`" + std::string(name) + "`";
}

}  // namespace

std::span<const RenamedEvent> renamed_events() {
  return kRenamedEvents;
}
std::span<const RenamedField> renamed_fields() {
  return kRenamedFields;
}
std::span<const RenamedValue> renamed_values() {
  return kRenamedValues;
}

void use_current_names(std::string& event, nlohmann::json& fields) {
  const bool is_summary = event.ends_with(kSummarySuffix);
  std::string single = event.substr(0, event.size() - (is_summary ? kSummarySuffix.size() : 0));
  const auto renamed =
      std::find_if(kRenamedEvents.begin(), kRenamedEvents.end(),
                   [&single](const RenamedEvent& r) { return single == r.former; });
  if (renamed != kRenamedEvents.end()) {
    single = renamed->current;
    event = single + std::string(is_summary ? kSummarySuffix : "");
  }
  for (const auto& r : kRenamedFields)
    if (single == r.event) rename_key(fields, r.former, r.current);
  for (const auto& r : kRenamedValues)
    if (single == r.event) rename_value(fields, r);
}

std::string former_names_markdown() {
  std::string out = "| event, field or value before | now |\n|---|---|\n";
  for (const auto& r : kRenamedEvents) out += table_row(in_code(r.former), in_code(r.current));
  for (const auto& r : kRenamedFields)
    out += table_row(in_code(r.event) + ", field " + in_code(r.former), in_code(r.current));
  for (const auto& r : kRenamedValues)
    out += table_row(in_code(r.event) + ", " + in_code(r.field) + " " + in_code(r.former),
                     in_code(r.current));
  return out;
}

}  // namespace hitchfront::telemetry
