// Codecs of batches of worker heartbeats and of the responses to them. Controllers that cannot
// reach each other relay these batches through the store (wire/relay_value.hpp). Varints in base64,
// so that a batch is a JSON string; each repeated name is written once per batch.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/worker.hpp"

namespace hitchfront::wire {

struct RelayedResponse {
  std::uint64_t id = 0;        // that of the relayed heartbeat
  int status = 0;              // HTTP status
  std::string body;            // unless the status is 200
  HeartbeatResponse commands;  // if the status is 200
};

// Encode as many items as fit `max_size` characters, but at least one if there is any, and remove
// them from the vector. The number of each heartbeat is the id that its response refers to.
// Decoding returns nullopt if the text is malformed.
std::string encode_heartbeats(std::vector<std::pair<std::uint64_t, Heartbeat>>& heartbeats,
                              std::size_t max_size);
std::optional<std::vector<std::pair<std::uint64_t, Heartbeat>>> decode_heartbeats(
    std::string_view text);
std::string encode_responses(std::vector<RelayedResponse>& responses, std::size_t max_size);
std::optional<std::vector<RelayedResponse>> decode_responses(std::string_view text);

}  // namespace hitchfront::wire
