// Store keys and values by which controllers that cannot reach each other relay worker heartbeats.
// Versions in production read them.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hitchfront::wire {

// relay/<node>: a batch of heartbeats that this follower relays to the leader.
inline constexpr std::string_view kRelayRequestPrefix = "relay/";
// reply/<node>: the leader's responses to that follower's batch.
inline constexpr std::string_view kRelayResponsePrefix = "reply/";
[[nodiscard]] std::string relay_request_key(std::string_view node);
[[nodiscard]] std::string relay_response_key(std::string_view node);

struct RelayValue {
  std::uint64_t sequence = 0;  // of the batch, set by the follower
  std::string items;           // encode_heartbeats() or encode_responses() of wire/batch.hpp
};
[[nodiscard]] std::string encode(const RelayValue& value);
// Returns nullopt if the value is malformed.
[[nodiscard]] std::optional<RelayValue> decode_relay_value(const nlohmann::json& value);

}  // namespace hitchfront::wire
