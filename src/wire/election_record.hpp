// The keys by which leaders are elected, and the codecs of their values. The keys, the JSON fields
// and the words in them are read by every version in production: they stand here once and never
// change. The value of `term` depends on the feature level: wire/feature_level.hpp.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace hitchfront::wire {

// Held under the leader's lease; absent while nobody leads. A LeaderRecord.
inline constexpr const char* kLeaderKey = "leader";
// The newest term that was ever taken; never deleted.
inline constexpr const char* kTermKey = "term";
// The newest leader, kept after its lease has ended. A LastLeaderRecord.
inline constexpr const char* kLastLeaderKey = "led";

// The value of `leader`.
struct LeaderRecord {
  std::string node;
  std::uint64_t term = 0;
};
[[nodiscard]] std::string encode(const LeaderRecord& record);
// A missing field is empty or 0. Throws nlohmann::json::type_error where the value is not an object
// with a string and a number; no version writes such a value.
[[nodiscard]] LeaderRecord decode_leader(const nlohmann::json& value);

// Whether the stored allocation log has every task that may be running.
enum class AllocationLogState : std::uint8_t {
  absent,   // the leader kept none: an earlier version, or switched off by the operators
  partial,  // what earlier leaders launched may be missing
  complete,
};

// The value of `led`. It is written in the transaction that takes the term, and again when the
// state of the allocation log changes.
struct LastLeaderRecord {
  std::string node;
  std::uint64_t term = 0;
  AllocationLogState allocation_log = AllocationLogState::absent;
};
[[nodiscard]] std::string encode(const LastLeaderRecord& record);
// Nothing: not an object. Throws as decode_leader() does.
[[nodiscard]] std::optional<LastLeaderRecord> decode_last_leader(const nlohmann::json& value);

}  // namespace hitchfront::wire
