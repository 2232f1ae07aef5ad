// The parts of the table of events, one for each concern, and the words in which their rows are
// written. Only events.cpp puts them together; everybody else uses telemetry/events.hpp.
#pragma once
#include <span>

#include "telemetry/events.hpp"

namespace hitchfront::telemetry::tables {

std::span<const EventSpec> controller_events();
std::span<const EventSpec> leader_events();
std::span<const EventSpec> store_events();
std::span<const EventSpec> jobs_events();
std::span<const EventSpec> machines_events();

// Fields by their kind.
constexpr FieldSpec text(const char* name) {
  return {name, Kind::text, Aggregation::none};
}
constexpr FieldSpec integer(const char* name) {
  return {name, Kind::integer, Aggregation::none};
}
constexpr FieldSpec number(const char* name) {
  return {name, Kind::number, Aggregation::none};
}
// Fields by what a summary does with them.
constexpr FieldSpec listed(const char* name) {
  return {name, Kind::text, Aggregation::listed};
}
constexpr FieldSpec counted(const char* name) {
  return {name, Kind::text, Aggregation::counted};
}
constexpr FieldSpec summed(const char* name) {
  return {name, Kind::integer, Aggregation::summed};
}

// An event that is logged by itself.
constexpr EventSpec single(Event event, Level level, const char* name, FieldList fields,
                           const char* meaning) {
  return {event, name, level, false, fields, meaning};
}
// An event that happens per machine, job or request.
constexpr EventSpec aggregated(Event event, const char* name, FieldList fields,
                               const char* meaning) {
  return {event, name, Level::info, true, fields, meaning};
}

}  // namespace hitchfront::telemetry::tables
