// Varint encoding: unsigned LEB128 integers, and strings prefixed by their length.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hitchfront::wire {

void put_varint(std::string& out, std::uint64_t value);
void put_text(std::string& out, std::string_view text);

// Reads values from the front of a buffer, which must outlive the reader and the texts read. After
// any failure ok() is false and every read returns 0 or an empty text.
class VarintReader {
 public:
  explicit VarintReader(std::string_view bytes) : rest_(bytes) {}
  std::uint64_t integer();
  std::string_view text();
  bool ok() const { return ok_; }
  bool at_end() const { return ok_ && rest_.empty(); }

 private:
  std::string_view rest_;
  bool ok_ = true;
};

// Moves one length-prefixed frame from the front of a stream buffer to `frame`.
// `incomplete`: more bytes are needed. `malformed`: the length is invalid or exceeds `max_bytes`.
enum class FrameResult { frame, incomplete, malformed };
FrameResult take_frame(std::string& buffer, std::string& frame, std::size_t max_bytes);

}  // namespace hitchfront::wire
