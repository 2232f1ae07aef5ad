// Many workers' heartbeats, and the answers to them, in one value of the store: how controllers
// that can't reach each other pass them on. Varint coded, names that repeat written once, and
// base64 so that the value is a JSON string: about a tenth of the reports' own JSON.
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
  std::uint64_t id = 0;
  int status = 0;
  std::string body;            // of any status but 200
  HeartbeatResponse commands;  // of 200
};

// Takes as many as fit into `most` characters, but at least one; the rest stays in the vector.
std::string encode_heartbeats(std::vector<std::pair<std::uint64_t, Heartbeat>>& heartbeats,
                              std::size_t most);
std::optional<std::vector<std::pair<std::uint64_t, Heartbeat>>> decode_heartbeats(
    std::string_view text);
std::string encode_responses(std::vector<RelayedResponse>& answers, std::size_t most);
std::optional<std::vector<RelayedResponse>> decode_responses(std::string_view text);

}  // namespace hitchfront::wire
