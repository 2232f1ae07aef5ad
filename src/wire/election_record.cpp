#include "wire/election_record.hpp"

namespace hitchfront::wire {
using nlohmann::json;
namespace {
constexpr const char* kNodeField = "node";
constexpr const char* kTermField = "term";
constexpr const char* kAllocationLogField = "roster";
constexpr const char* kCompleteValue = "whole";
constexpr const char* kPartialValue = "partial";

AllocationLogState allocation_log_state(const std::string& value) {
  if (value == kCompleteValue) return AllocationLogState::complete;
  return value.empty() ? AllocationLogState::absent : AllocationLogState::partial;
}
}  // namespace

std::string encode(const LeaderRecord& record) {
  return json{{kNodeField, record.node}, {kTermField, record.term}}.dump();
}

LeaderRecord decode_leader(const json& value) {
  return {value.value(kNodeField, ""), value.value(kTermField, std::uint64_t{0})};
}

std::string encode(const LastLeaderRecord& record) {
  json object = {{kNodeField, record.node}, {kTermField, record.term}};
  if (record.allocation_log != AllocationLogState::absent)
    object[kAllocationLogField] =
        record.allocation_log == AllocationLogState::complete ? kCompleteValue : kPartialValue;
  return object.dump();
}

std::optional<LastLeaderRecord> decode_last_leader(const json& value) {
  if (!value.is_object()) return std::nullopt;
  return LastLeaderRecord{value.value(kNodeField, ""), value.value(kTermField, std::uint64_t{0}),
                          allocation_log_state(value.value(kAllocationLogField, ""))};
}

}  // namespace hitchfront::wire
