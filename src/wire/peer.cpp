#include "wire/peer.hpp"

#include "wire/varint.hpp"

namespace hitchfront::wire {

std::string encode_jobs(const std::vector<std::string>& ids) {
  std::string out;
  for (const auto& id : ids) put_text(out, id);
  return out;
}

std::optional<std::vector<std::string>> decode_jobs(std::string_view text) {
  VarintReader in(text);
  std::vector<std::string> out;
  while (in.ok() && !in.at_end()) out.emplace_back(in.text());
  return in.ok() ? std::optional(std::move(out)) : std::nullopt;
}

std::string encode_counts(const std::vector<JobCounts>& counts) {
  std::string out;
  for (const auto& c : counts) {
    put_varint(out, c.known ? 1 : 0);
    put_varint(out, c.done);
    put_varint(out, c.running);
  }
  return out;
}

std::optional<std::vector<JobCounts>> decode_counts(std::string_view text) {
  VarintReader in(text);
  std::vector<JobCounts> out;
  while (in.ok() && !in.at_end()) {
    JobCounts c;
    c.known = in.integer() != 0;
    c.done = static_cast<std::uint32_t>(in.integer());
    c.running = static_cast<std::uint32_t>(in.integer());
    out.push_back(c);
  }
  return in.ok() ? std::optional(std::move(out)) : std::nullopt;
}

std::string encode(const PeerMessage& m) {
  std::string out;
  put_varint(out, static_cast<std::uint64_t>(m.kind));
  put_varint(out, m.id);
  put_varint(out, m.a);
  put_varint(out, m.b);
  put_text(out, m.text);
  if (m.needs != 0 || m.wants_cancellations) put_varint(out, m.needs);
  if (m.wants_cancellations) {
    put_varint(out, m.position.process);
    put_varint(out, m.position.sequence_number);
  }
  return out;
}

std::optional<PeerMessage> decode_peer(std::string_view bytes) {
  VarintReader in(bytes);
  PeerMessage m;
  const auto kind = in.integer();
  m.id = in.integer();
  m.a = in.integer();
  m.b = in.integer();
  m.text = in.text();
  if (in.ok() && !in.at_end()) m.needs = in.integer();
  if (in.ok() && !in.at_end()) {
    m.wants_cancellations = true;
    m.position.process = in.integer();
    m.position.sequence_number = in.integer();
  }
  // Bytes after the known fields are a newer version's and are ignored.
  if (!in.ok() || kind < 1 || kind > 9) return std::nullopt;
  m.kind = static_cast<PeerMessage::Kind>(kind);
  return m;
}

}  // namespace hitchfront::wire
