#include "wire/progress.hpp"

#include <algorithm>

#include "wire/base64.hpp"
#include "wire/varint.hpp"

namespace hitchfront::wire {
namespace {
constexpr std::string_view kDigits = "0123456789abcdef";
constexpr char kRunsMark = '=', kBitsMark = '#';  // no hexadecimal digits
constexpr std::size_t kByteBits = 8;

std::string bitmap(const std::vector<bool>& done) {
  std::string hex;
  for (std::size_t t = 0; t < done.size(); t += 4) {
    std::size_t nibble = 0;
    for (std::size_t b = 0; b < 4 && t + b < done.size(); ++b)
      if (done[t + b]) nibble |= 1U << b;
    hex.push_back(kDigits[nibble]);
  }
  while (!hex.empty() && hex.back() == '0') hex.pop_back();
  return hex;
}

std::string runs(const std::vector<bool>& done) {
  std::string out;
  bool value = false;
  for (std::size_t t = 0; t < done.size();) {
    const auto from = t;
    while (t < done.size() && done[t] == value) ++t;
    if (t == done.size() && !value) break;  // the rest is not done
    put_varint(out, t - from);
    value = !value;
  }
  return kRunsMark + to_base64(out);
}

std::string bits(const std::vector<bool>& done) {
  std::string bytes;
  for (std::size_t t = 0; t < done.size(); ++t) {
    if (t % kByteBits == 0) bytes.push_back('\0');
    if (done[t])
      bytes.back() =
          static_cast<char>(static_cast<unsigned char>(bytes.back()) | 1U << t % kByteBits);
  }
  return kBitsMark + to_base64(bytes);
}

std::optional<Progress> read_bits(std::string_view text, std::uint32_t tasks) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  Progress p{ProgressForm::shortest, {}};
  for (std::size_t t = 0; t < bytes->size() * kByteBits; ++t) {
    if ((static_cast<unsigned char>((*bytes)[t / kByteBits]) >> t % kByteBits & 1U) == 0) continue;
    if (t >= tasks) return std::nullopt;
    p.done.push_back(static_cast<std::uint32_t>(t));
  }
  return p;
}

std::optional<Progress> read_runs(std::string_view text, std::uint32_t tasks) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  Progress p{ProgressForm::runs, {}};
  VarintReader in(*bytes);
  std::uint64_t at = 0;
  for (bool value = false; !in.at_end(); value = !value) {
    const auto n = in.integer();
    if (!in.ok() || n > tasks - at) return std::nullopt;
    for (std::uint64_t i = 0; value && i < n; ++i)
      p.done.push_back(static_cast<std::uint32_t>(at + i));
    at += n;
  }
  return p;
}

}  // namespace

std::string encode_progress(const std::vector<bool>& done, ProgressForm form) {
  if (form == ProgressForm::bitmap) return bitmap(done);
  auto text = runs(done);
  if (form == ProgressForm::runs) return text;
  auto other = bits(done);
  return other.size() < text.size() ? other : text;
}

std::optional<Progress> decode_progress(std::string_view text, std::uint32_t tasks) {
  if (text.starts_with(kRunsMark)) return read_runs(text.substr(1), tasks);
  if (text.starts_with(kBitsMark)) return read_bits(text.substr(1), tasks);
  Progress p;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto nibble = kDigits.find(text[i]);
    if (nibble == std::string_view::npos) return std::nullopt;
    for (std::size_t b = 0; b < 4; ++b) {
      const auto t = i * 4 + b;
      if ((nibble >> b & 1) == 0) continue;
      if (t >= tasks) return std::nullopt;
      p.done.push_back(static_cast<std::uint32_t>(t));
    }
  }
  return p;
}

}  // namespace hitchfront::wire
