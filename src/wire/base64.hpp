// Base64 without padding (RFC 4648). The text needs no escaping in a JSON string.
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace hitchfront::wire {

std::string to_base64(std::string_view bytes);
// Returns nullopt if the text contains a character outside the alphabet.
std::optional<std::string> from_base64(std::string_view text);
// Number of characters that encode `byte_count` bytes.
constexpr std::size_t base64_size(std::size_t byte_count) {
  return (byte_count * 4 + 2) / 3;
}

}  // namespace hitchfront::wire
