#include "wire/base64.hpp"

#include <array>
#include <cstdint>

namespace hitchfront::wire {
namespace {

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr auto kDigitValues = [] {
  std::array<std::int8_t, 256> values{};
  values.fill(-1);
  for (std::size_t i = 0; i < kDigits.size(); ++i)
    values[static_cast<unsigned char>(kDigits[i])] = static_cast<std::int8_t>(i);
  return values;
}();

}  // namespace

std::string to_base64(std::string_view bytes) {
  std::string out;
  out.reserve(base64_size(bytes.size()));
  std::uint32_t bits = 0;
  int bit_count = 0;
  for (const char c : bytes) {
    bits = bits << 8 | static_cast<unsigned char>(c);
    for (bit_count += 8; bit_count >= 6; bit_count -= 6)
      out.push_back(kDigits[bits >> (bit_count - 6) & 63]);
  }
  if (bit_count > 0) out.push_back(kDigits[bits << (6 - bit_count) & 63]);
  return out;
}

std::optional<std::string> from_base64(std::string_view text) {
  std::string out;
  out.reserve(text.size() * 3 / 4);
  std::uint32_t bits = 0;
  int bit_count = 0;
  for (const char c : text) {
    const auto digit = kDigitValues[static_cast<unsigned char>(c)];
    if (digit < 0) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(digit);
    bit_count += 6;
    if (bit_count < 8) continue;
    bit_count -= 8;
    out.push_back(static_cast<char>(bits >> bit_count & 255));
  }
  return out;
}

}  // namespace hitchfront::wire
