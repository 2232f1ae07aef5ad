#include "wire/feature_level.hpp"

#include "wire/prefixed_key.hpp"
#include "wire/varint.hpp"

namespace hitchfront::wire {
using nlohmann::json;

std::string encode(const FeatureLevel& l) {
  json o = {{"active", l.active},
            {"low", l.low},
            {"high", l.high},
            {"since", l.since_s},
            {"term", l.term}};
  if (l.generation != 0) {
    o["lineage"] = l.store_incarnation;
    o["generation"] = l.generation;
  }
  return o.dump();
}

std::optional<FeatureLevel> decode_level(const json& v) {
  try {
    FeatureLevel l{v.at("active").get<std::uint32_t>(),    v.at("low").get<std::uint32_t>(),
                   v.at("high").get<std::uint32_t>(),      v.at("since").get<std::int64_t>(),
                   v.at("term").get<std::uint64_t>(),      v.value("lineage", ""),
                   v.value("generation", std::uint64_t{0})};
    if (l.low < 1 || l.low > l.active || l.active > l.high) return std::nullopt;
    return l;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string member_key(std::string_view node) {
  return prefixed_key(kMemberPrefix, node);
}

std::string encode(const Announcement& a) {
  return json{{"node", a.node}, {"version", a.version}, {"life", a.process},
              {"from", a.from}, {"to", a.to},           {"since", a.since_s}}
      .dump();
}

std::optional<Announcement> decode_announcement(const json& v) {
  try {
    return Announcement{v.at("node").get<std::string>(),   v.at("version").get<std::string>(),
                        v.at("life").get<std::uint64_t>(), v.at("from").get<std::uint32_t>(),
                        v.at("to").get<std::uint32_t>(),   v.at("since").get<std::int64_t>()};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string encode_member_status(const MemberStatus& s) {
  std::string out;
  put_varint(out, s.announcement.process);
  put_varint(out, s.announcement.from);
  put_varint(out, s.announcement.to);
  put_varint(out, static_cast<std::uint64_t>(s.announcement.since_s));
  put_text(out, s.announcement.version);
  put_varint(out, s.seen);
  put_varint(out, s.generation);
  put_varint(out, s.lost ? 1 : 0);
  return out;
}

std::optional<MemberStatus> decode_member_status(std::string_view node, std::string_view text) {
  VarintReader in(text);
  MemberStatus s;
  s.announcement.node = node;
  s.announcement.process = in.integer();
  s.announcement.from = static_cast<std::uint32_t>(in.integer());
  s.announcement.to = static_cast<std::uint32_t>(in.integer());
  s.announcement.since_s = static_cast<std::int64_t>(in.integer());
  s.announcement.version = in.text();
  if (!in.ok()) return std::nullopt;
  if (in.at_end()) return s;  // a version of level 2
  s.seen = in.integer();
  s.generation = in.integer();
  s.lost = in.integer() != 0;
  // What follows is a newer version's.
  return in.ok() ? std::optional(std::move(s)) : std::nullopt;
}

std::string encode_term(std::uint64_t term, const FeatureLevel& level) {
  return level.high > 1 ? json{{"term", term}}.dump() : json(term).dump();
}

std::optional<std::uint64_t> decode_term(const json& v) {
  if (v.is_number_unsigned()) return v.get<std::uint64_t>();
  const auto it = v.is_object() ? v.find("term") : v.end();
  return v.is_object() && it != v.end() && it->is_number_unsigned()
             ? std::optional(it->get<std::uint64_t>())
             : std::nullopt;
}

}  // namespace hitchfront::wire
