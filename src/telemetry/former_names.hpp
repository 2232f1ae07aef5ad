// Maps names of log events, fields and values that earlier versions wrote to the current ones, so
// that `hitchfront log explain` can read logs of several versions together. Performs no I/O.
#pragma once
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>

namespace hitchfront::telemetry {

struct RenamedEvent {
  const char* former;
  const char* current;
};
std::span<const RenamedEvent> renamed_events();

// `event` is the current name.
struct RenamedField {
  const char* event;
  const char* former;
  const char* current;
};
std::span<const RenamedField> renamed_fields();

// A value of a text field, or the corresponding key of a summary's counts. `event` and `field` are
// the current names.
struct RenamedValue {
  const char* event;
  const char* field;
  const char* former;
  const char* current;
};
std::span<const RenamedValue> renamed_values();

// Replaces former names in a single event or a summary by the current ones. Names that are not in
// the tables are left unchanged.
void use_current_names(std::string& event, nlohmann::json& fields);

// The table of former names in docs/operations.md, in Markdown.
std::string former_names_markdown();

}  // namespace hitchfront::telemetry
