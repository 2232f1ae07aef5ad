// Partial event tables, one per subsystem, and helpers for writing their rows. Internal to
// telemetry: events.cpp joins the tables, and other code uses telemetry/events.hpp.
#pragma once
#include <span>

#include "telemetry/events.hpp"

namespace hitchfront::telemetry::tables {

std::span<const EventSpec> controller_events();
std::span<const EventSpec> leader_events();
std::span<const EventSpec> store_events();
std::span<const EventSpec> jobs_events();
std::span<const EventSpec> machines_events();

// Fields that summaries omit, by type.
constexpr FieldSpec text(const char* name) {
  return {name, Kind::text, Aggregation::none};
}
constexpr FieldSpec integer(const char* name) {
  return {name, Kind::integer, Aggregation::none};
}
constexpr FieldSpec number(const char* name) {
  return {name, Kind::number, Aggregation::none};
}
constexpr FieldSpec boolean(const char* name) {
  return {name, Kind::boolean, Aggregation::none};
}
// Fields that summaries include, by aggregation.
constexpr FieldSpec listed(const char* name) {
  return {name, Kind::text, Aggregation::listed};
}
constexpr FieldSpec counted(const char* name) {
  return {name, Kind::text, Aggregation::counted};
}
constexpr FieldSpec summed(const char* name) {
  return {name, Kind::integer, Aggregation::summed};
}

// An event that is logged individually at `level`.
constexpr EventSpec single(Event event, Level level, const char* name, FieldList fields,
                           const char* meaning) {
  return {event, name, level, false, fields, meaning};
}
// An event that occurs per machine, job or request: summaries at info, single events at debug.
constexpr EventSpec aggregated(Event event, const char* name, FieldList fields,
                               const char* meaning) {
  return {event, name, Level::info, true, fields, meaning};
}

}  // namespace hitchfront::telemetry::tables
