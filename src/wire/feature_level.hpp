// What the controllers agree on about the form of the stored state (key `level`), and what each of
// them says of itself (key `node/<name>`, and with each peer heartbeat between controllers).
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hitchfront::wire {

// The form in which values are written, and the forms that may still stand in the store. A store
// without the key is of level 1: that of the versions which know no levels.
struct FeatureLevel {
  std::uint32_t active = 1;
  std::uint32_t low = 1,
                high = 1;    // low <= active <= high; equal once every value is of the active form
  std::int64_t since_s = 0;  // wall clock, seconds since 1970
  std::uint64_t term = 0;    // whose leader switched
  // From level 3 on: whose state this is, drawn once, and how often it was rebuilt, from 1.
  std::string store_incarnation;
  std::uint64_t generation = 0;
  bool operator==(const FeatureLevel&) const = default;
};
std::string encode(const FeatureLevel& level);
std::optional<FeatureLevel> decode_level(const nlohmann::json& value);

// The key of a controller's announcement.
inline constexpr std::string_view kMemberPrefix = "node/";
[[nodiscard]] std::string member_key(std::string_view node);

// A process and the levels that it reads and writes.
struct Announcement {
  std::string node, version;
  std::uint64_t process = 0;  // drawn by each process
  std::uint32_t from = 1, to = 1;
  std::int64_t since_s = 0;  // wall clock
  bool supports(const FeatureLevel& level) const { return from <= level.low && level.high <= to; }
};
std::string encode(const Announcement& announcement);
std::optional<Announcement> decode_announcement(const nlohmann::json& value);
// In a peer heartbeat: varint coded, without the node's name, which the link knows. Empty: a
// version that says nothing.
struct MemberStatus {
  Announcement announcement;
  std::uint64_t seen = 0;        // the highest revision of the store in any answer
  std::uint64_t generation = 0;  // of the stored state
  bool lost = false;             // that generation is known to have lost something
};
std::string encode_member_status(const MemberStatus& status);
std::optional<MemberStatus> decode_member_status(std::string_view node, std::string_view text);

// The value of `term`. While a value above level 1 may stand in the store it is an object, which
// versions that know no levels don't take for a term: so they never lead, and write nothing but
// what every version reads alike.
std::string encode_term(std::uint64_t term, const FeatureLevel& level);
std::optional<std::uint64_t> decode_term(const nlohmann::json& value);

}  // namespace hitchfront::wire
