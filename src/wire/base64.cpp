#include "wire/base64.hpp"

#include <array>
#include <cstdint>

namespace hitchfront::wire {
namespace {

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr auto kValues = [] {
  std::array<std::int8_t, 256> v{};
  v.fill(-1);
  for (std::size_t i = 0; i < kDigits.size(); ++i)
    v[static_cast<unsigned char>(kDigits[i])] = static_cast<std::int8_t>(i);
  return v;
}();

}  // namespace

std::string to_base64(std::string_view bytes) {
  std::string out;
  out.reserve(base64_size(bytes.size()));
  std::uint32_t bits = 0;
  int have = 0;
  for (const char c : bytes) {
    bits = bits << 8 | static_cast<unsigned char>(c);
    for (have += 8; have >= 6; have -= 6) out.push_back(kDigits[bits >> (have - 6) & 63]);
  }
  if (have > 0) out.push_back(kDigits[bits << (6 - have) & 63]);
  return out;
}

std::optional<std::string> from_base64(std::string_view text) {
  std::string out;
  out.reserve(text.size() * 3 / 4);
  std::uint32_t bits = 0;
  int have = 0;
  for (const char c : text) {
    const auto digit = kValues[static_cast<unsigned char>(c)];
    if (digit < 0) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(digit);
    have += 6;
    if (have < 8) continue;
    have -= 8;
    out.push_back(static_cast<char>(bits >> have & 255));
  }
  return out;
}

}  // namespace hitchfront::wire
