#include "wire/varint.hpp"

namespace hitchfront::wire {
namespace {
constexpr int kMaxVarintBytes = 10;  // of a 64-bit LEB128 integer

// Returns the number of bytes read, 0 if more bytes are needed, -1 if the encoding is malformed.
int read_varint(std::string_view in, std::uint64_t& value) {
  value = 0;
  for (int i = 0; i < kMaxVarintBytes; ++i) {
    if (static_cast<std::size_t>(i) >= in.size()) return 0;
    const auto byte = static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
    if (i == kMaxVarintBytes - 1 && byte > 1) return -1;  // exceeds 64 bits
    value |= static_cast<std::uint64_t>(byte & 0x7f) << (7 * i);
    if ((byte & 0x80) == 0) return i + 1;
  }
  return -1;
}
}  // namespace

void put_varint(std::string& out, std::uint64_t value) {
  while (value >= 0x80) {
    out.push_back(static_cast<char>(value | 0x80));
    value >>= 7;
  }
  out.push_back(static_cast<char>(value));
}

void put_text(std::string& out, std::string_view text) {
  put_varint(out, text.size());
  out.append(text);
}

std::uint64_t VarintReader::integer() {
  std::uint64_t value = 0;
  const int size = ok_ ? read_varint(rest_, value) : -1;
  if (size <= 0) {
    ok_ = false;
    return 0;
  }
  rest_.remove_prefix(static_cast<std::size_t>(size));
  return value;
}

std::string_view VarintReader::text() {
  const auto size = integer();
  if (!ok_ || size > rest_.size()) {
    ok_ = false;
    return {};
  }
  auto text = rest_.substr(0, size);
  rest_.remove_prefix(size);
  return text;
}

FrameResult take_frame(std::string& buffer, std::string& frame, std::size_t max_bytes) {
  std::uint64_t size = 0;
  const int prefix_size = read_varint(buffer, size);
  if (prefix_size < 0) return FrameResult::malformed;
  if (prefix_size == 0) return FrameResult::incomplete;
  if (size > max_bytes) return FrameResult::malformed;
  if (buffer.size() - static_cast<std::size_t>(prefix_size) < size) return FrameResult::incomplete;
  frame = buffer.substr(static_cast<std::size_t>(prefix_size), size);
  buffer.erase(0, static_cast<std::size_t>(prefix_size) + size);
  return FrameResult::frame;
}

}  // namespace hitchfront::wire
