// The store keys of the leader election, and the codecs of their values. Every version in
// production reads these keys, JSON fields and enumerated values: they must never change. The
// encoding of `term` depends on the feature level: wire/feature_level.hpp.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace hitchfront::wire {

// The current leader, a LeaderRecord. Bound to the leader's lease; absent while there is no leader.
inline constexpr const char* kLeaderKey = "leader";
// The highest term so far; never deleted.
inline constexpr const char* kTermKey = "term";
// The latest leader, a LastLeaderRecord. Kept after the leader's lease has ended.
inline constexpr const char* kLastLeaderKey = "led";

// The value of `leader`.
struct LeaderRecord {
  std::string node;
  std::uint64_t term = 0;
};
[[nodiscard]] std::string encode(const LeaderRecord& record);
// A missing field is read as empty or 0. Throws nlohmann::json::type_error if the value is not an
// object or a field has the wrong type; no version writes such a value.
[[nodiscard]] LeaderRecord decode_leader(const nlohmann::json& value);

// Whether the stored allocation log contains every task that may be running.
enum class AllocationLogState : std::uint8_t {
  absent,   // the leader keeps no log: an earlier version, or disabled in the settings
  partial,  // tasks launched by earlier leaders may be missing
  complete,
};

// The value of `led`. Written in the transaction that starts the term, and again whenever the state
// of the allocation log changes.
struct LastLeaderRecord {
  std::string node;
  std::uint64_t term = 0;
  AllocationLogState allocation_log = AllocationLogState::absent;
};
[[nodiscard]] std::string encode(const LastLeaderRecord& record);
// Returns nullopt if the value is not an object. Throws if a field has the wrong type, as
// decode_leader() does.
[[nodiscard]] std::optional<LastLeaderRecord> decode_last_leader(const nlohmann::json& value);

}  // namespace hitchfront::wire
