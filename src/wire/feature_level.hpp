// Feature levels: the encoding of the stored state on which the controllers agree (key `level`),
// and the levels that each controller supports (key `node/<name>`, and every peer heartbeat).
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hitchfront::wire {

// The level at which values are written, and the range of levels of the values that the store may
// contain. A store without the key is at level 1, that of the versions without feature levels.
struct FeatureLevel {
  std::uint32_t active = 1;
  std::uint32_t low = 1,
                high = 1;    // low <= active <= high; equal once all values are at the active level
  std::int64_t since_s = 0;  // Unix time
  std::uint64_t term = 0;    // of the leader that activated the level
  // From level 3 on: the random id of the stored state, and its generation, which starts at 1 and
  // increases with each recovery from a data loss.
  std::string store_incarnation;
  std::uint64_t generation = 0;
  bool operator==(const FeatureLevel&) const = default;
};
std::string encode(const FeatureLevel& level);
std::optional<FeatureLevel> decode_level(const nlohmann::json& value);

// Prefix of the keys of the controllers' announcements.
inline constexpr std::string_view kMemberPrefix = "node/";
[[nodiscard]] std::string member_key(std::string_view node);

// A controller process and the range of levels that it can read and write.
struct Announcement {
  std::string node, version;
  std::uint64_t process = 0;  // random id, drawn at start
  std::uint32_t from = 1, to = 1;
  std::int64_t since_s = 0;  // Unix time
  bool supports(const FeatureLevel& level) const { return from <= level.low && level.high <= to; }
};
std::string encode(const Announcement& announcement);
std::optional<Announcement> decode_announcement(const nlohmann::json& value);
// A controller's status in its peer heartbeats. The node's name is not transmitted: the connection
// identifies the sender.
struct MemberStatus {
  Announcement announcement;
  std::uint64_t max_revision = 0;  // the highest store revision in any response
  std::uint64_t generation = 0;    // of the stored state
  bool data_lost = false;          // that generation is known to have lost data
};
std::string encode_member_status(const MemberStatus& status);
// Returns nullopt if the text is malformed, or empty as sent by versions without feature levels.
std::optional<MemberStatus> decode_member_status(std::string_view node, std::string_view text);

// The value of `term`. While the store may contain a value above level 1, it is an object, which
// versions without feature levels do not accept as a term. They are therefore never elected, and
// write only values that every version can read.
std::string encode_term(std::uint64_t term, const FeatureLevel& level);
std::optional<std::uint64_t> decode_term(const nlohmann::json& value);

}  // namespace hitchfront::wire
