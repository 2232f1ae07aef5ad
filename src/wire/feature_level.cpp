#include "wire/feature_level.hpp"

#include "wire/prefixed_key.hpp"
#include "wire/varint.hpp"

namespace hitchfront::wire {
using nlohmann::json;

std::string encode(const FeatureLevel& level) {
  json object = {{"active", level.active},
                 {"low", level.low},
                 {"high", level.high},
                 {"since", level.since_s},
                 {"term", level.term}};
  if (level.generation != 0) {
    object["lineage"] = level.store_incarnation;
    object["generation"] = level.generation;
  }
  return object.dump();
}

std::optional<FeatureLevel> decode_level(const json& value) {
  try {
    FeatureLevel level{
        value.at("active").get<std::uint32_t>(),    value.at("low").get<std::uint32_t>(),
        value.at("high").get<std::uint32_t>(),      value.at("since").get<std::int64_t>(),
        value.at("term").get<std::uint64_t>(),      value.value("lineage", ""),
        value.value("generation", std::uint64_t{0})};
    if (level.low < 1 || level.low > level.active || level.active > level.high) return std::nullopt;
    return level;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string member_key(std::string_view node) {
  return prefixed_key(kMemberPrefix, node);
}

std::string encode(const Announcement& announcement) {
  return json{{"node", announcement.node},    {"version", announcement.version},
              {"life", announcement.process}, {"from", announcement.from},
              {"to", announcement.to},        {"since", announcement.since_s}}
      .dump();
}

std::optional<Announcement> decode_announcement(const json& value) {
  try {
    return Announcement{
        value.at("node").get<std::string>(),   value.at("version").get<std::string>(),
        value.at("life").get<std::uint64_t>(), value.at("from").get<std::uint32_t>(),
        value.at("to").get<std::uint32_t>(),   value.at("since").get<std::int64_t>()};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string encode_member_status(const MemberStatus& status) {
  std::string out;
  put_varint(out, status.announcement.process);
  put_varint(out, status.announcement.from);
  put_varint(out, status.announcement.to);
  put_varint(out, static_cast<std::uint64_t>(status.announcement.since_s));
  put_text(out, status.announcement.version);
  put_varint(out, status.max_revision);
  put_varint(out, status.generation);
  put_varint(out, status.data_lost ? 1 : 0);
  return out;
}

std::optional<MemberStatus> decode_member_status(std::string_view node, std::string_view text) {
  VarintReader in(text);
  MemberStatus status;
  status.announcement.node = node;
  status.announcement.process = in.integer();
  status.announcement.from = static_cast<std::uint32_t>(in.integer());
  status.announcement.to = static_cast<std::uint32_t>(in.integer());
  status.announcement.since_s = static_cast<std::int64_t>(in.integer());
  status.announcement.version = in.text();
  if (!in.ok()) return std::nullopt;
  if (in.at_end()) return status;  // sent by versions up to level 2
  status.max_revision = in.integer();
  status.generation = in.integer();
  status.data_lost = in.integer() != 0;
  // Ignores any fields that a later version appends.
  return in.ok() ? std::optional(std::move(status)) : std::nullopt;
}

std::string encode_term(std::uint64_t term, const FeatureLevel& level) {
  return level.high > 1 ? json{{"term", term}}.dump() : json(term).dump();
}

std::optional<std::uint64_t> decode_term(const json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  const auto term = value.is_object() ? value.find("term") : value.end();
  return value.is_object() && term != value.end() && term->is_number_unsigned()
             ? std::optional(term->get<std::uint64_t>())
             : std::nullopt;
}

}  // namespace hitchfront::wire
