// Bytes as characters that a JSON string holds as they are (RFC 4648, without padding).
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace hitchfront::wire {

std::string to_base64(std::string_view bytes);
std::optional<std::string> from_base64(std::string_view text);
constexpr std::size_t base64_size(std::size_t bytes) {
  return (bytes * 4 + 2) / 3;
}

}  // namespace hitchfront::wire
