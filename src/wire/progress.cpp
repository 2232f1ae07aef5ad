#include "wire/progress.hpp"

#include <algorithm>

#include "wire/base64.hpp"
#include "wire/varint.hpp"

namespace hitchfront::wire {
namespace {
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr char kRunsPrefix = '=', kBytesPrefix = '#';  // not hexadecimal digits
constexpr std::size_t kBitsPerByte = 8;

std::string encode_hex(const std::vector<bool>& done) {
  std::string hex;
  for (std::size_t task = 0; task < done.size(); task += 4) {
    std::size_t nibble = 0;
    for (std::size_t bit = 0; bit < 4 && task + bit < done.size(); ++bit)
      if (done[task + bit]) nibble |= 1U << bit;
    hex.push_back(kHexDigits[nibble]);
  }
  while (!hex.empty() && hex.back() == '0') hex.pop_back();
  return hex;
}

std::string encode_runs(const std::vector<bool>& done) {
  std::string out;
  bool run_done = false;
  for (std::size_t task = 0; task < done.size();) {
    const auto run_begin = task;
    while (task < done.size() && done[task] == run_done) ++task;
    if (task == done.size() && !run_done) break;  // a trailing run of tasks not done is omitted
    put_varint(out, task - run_begin);
    run_done = !run_done;
  }
  return kRunsPrefix + to_base64(out);
}

std::string encode_bytes(const std::vector<bool>& done) {
  std::string bytes;
  for (std::size_t task = 0; task < done.size(); ++task) {
    if (task % kBitsPerByte == 0) bytes.push_back('\0');
    if (done[task])
      bytes.back() =
          static_cast<char>(static_cast<unsigned char>(bytes.back()) | 1U << task % kBitsPerByte);
  }
  return kBytesPrefix + to_base64(bytes);
}

std::optional<Progress> decode_bytes(std::string_view text, std::uint32_t tasks) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  Progress progress{ProgressForm::shortest, {}};
  for (std::size_t task = 0; task < bytes->size() * kBitsPerByte; ++task) {
    if ((static_cast<unsigned char>((*bytes)[task / kBitsPerByte]) >> task % kBitsPerByte & 1U) ==
        0)
      continue;
    if (task >= tasks) return std::nullopt;
    progress.done.push_back(static_cast<std::uint32_t>(task));
  }
  return progress;
}

std::optional<Progress> decode_runs(std::string_view text, std::uint32_t tasks) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  Progress progress{ProgressForm::runs, {}};
  VarintReader in(*bytes);
  std::uint64_t run_begin = 0;
  for (bool run_done = false; !in.at_end(); run_done = !run_done) {
    const auto length = in.integer();
    if (!in.ok() || length > tasks - run_begin) return std::nullopt;
    for (std::uint64_t i = 0; run_done && i < length; ++i)
      progress.done.push_back(static_cast<std::uint32_t>(run_begin + i));
    run_begin += length;
  }
  return progress;
}

}  // namespace

std::string encode_progress(const std::vector<bool>& done, ProgressForm form) {
  if (form == ProgressForm::bitmap) return encode_hex(done);
  auto text = encode_runs(done);
  if (form == ProgressForm::runs) return text;
  auto bitmap_text = encode_bytes(done);
  return bitmap_text.size() < text.size() ? bitmap_text : text;
}

std::optional<Progress> decode_progress(std::string_view text, std::uint32_t tasks) {
  if (text.starts_with(kRunsPrefix)) return decode_runs(text.substr(1), tasks);
  if (text.starts_with(kBytesPrefix)) return decode_bytes(text.substr(1), tasks);
  Progress progress;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto nibble = kHexDigits.find(text[i]);
    if (nibble == std::string_view::npos) return std::nullopt;
    for (std::size_t bit = 0; bit < 4; ++bit) {
      const auto task = i * 4 + bit;
      if ((nibble >> bit & 1) == 0) continue;
      if (task >= tasks) return std::nullopt;
      progress.done.push_back(static_cast<std::uint32_t>(task));
    }
  }
  return progress;
}

}  // namespace hitchfront::wire
