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
  return {name, Kind::text, Role::none};
}
constexpr FieldSpec integer(const char* name) {
  return {name, Kind::integer, Role::none};
}
constexpr FieldSpec number(const char* name) {
  return {name, Kind::number, Role::none};
}
// Fields by what a summary does with them.
constexpr FieldSpec listed(const char* name) {
  return {name, Kind::text, Role::listed};
}
constexpr FieldSpec counted(const char* name) {
  return {name, Kind::text, Role::counted};
}
constexpr FieldSpec added(const char* name) {
  return {name, Kind::integer, Role::added};
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
