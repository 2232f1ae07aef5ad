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
  for (const auto& job_counts : counts) {
    put_varint(out, job_counts.known ? 1 : 0);
    put_varint(out, job_counts.done);
    put_varint(out, job_counts.running);
  }
  return out;
}

std::optional<std::vector<JobCounts>> decode_counts(std::string_view text) {
  VarintReader in(text);
  std::vector<JobCounts> out;
  while (in.ok() && !in.at_end()) {
    JobCounts job_counts;
    job_counts.known = in.integer() != 0;
    job_counts.done = static_cast<std::uint32_t>(in.integer());
    job_counts.running = static_cast<std::uint32_t>(in.integer());
    out.push_back(job_counts);
  }
  return in.ok() ? std::optional(std::move(out)) : std::nullopt;
}

std::string encode(const PeerMessage& message) {
  std::string out;
  put_varint(out, static_cast<std::uint64_t>(message.kind));
  put_varint(out, message.id);
  put_varint(out, message.a);
  put_varint(out, message.b);
  put_text(out, message.text);
  if (message.write_demand != 0 || message.wants_cancellations)
    put_varint(out, message.write_demand);
  if (message.wants_cancellations) {
    put_varint(out, message.position.process);
    put_varint(out, message.position.sequence_number);
  }
  return out;
}

std::optional<PeerMessage> decode_peer(std::string_view bytes) {
  VarintReader in(bytes);
  PeerMessage message;
  const auto kind = in.integer();
  message.id = in.integer();
  message.a = in.integer();
  message.b = in.integer();
  message.text = in.text();
  if (in.ok() && !in.at_end()) message.write_demand = in.integer();
  if (in.ok() && !in.at_end()) {
    message.wants_cancellations = true;
    message.position.process = in.integer();
    message.position.sequence_number = in.integer();
  }
  // Ignores any fields that a later version appends.
  if (!in.ok() || kind < 1 || kind > 9) return std::nullopt;
  message.kind = static_cast<PeerMessage::Kind>(kind);
  return message;
}

}  // namespace hitchfront::wire
