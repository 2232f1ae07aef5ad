// Names of log events, their fields and values that earlier versions wrote, and what they are
// called now: `hitchfront log explain` reads logs of both, side by side. No I/O.
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

// Events and fields by their current names.
struct RenamedField {
  const char* event;
  const char* former;
  const char* current;
};
std::span<const RenamedField> renamed_fields();

// A value of a text field; in summaries, which count equal values, a key.
struct RenamedValue {
  const char* event;
  const char* field;
  const char* former;
  const char* current;
};
std::span<const RenamedValue> renamed_values();

// Brings the event and the fields of a line of any version, or of a summary, to the current names.
// What is not in the tables stays.
void use_current_names(std::string& event, nlohmann::json& fields);

// The list of docs/operations.md, in Markdown.
std::string former_names_markdown();

}  // namespace hitchfront::telemetry
