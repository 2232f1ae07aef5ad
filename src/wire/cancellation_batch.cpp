#include "wire/cancellation_batch.hpp"

#include "wire/varint.hpp"

namespace hitchfront::wire {

std::string encode(const cancellation::CancellationBatch& v) {
  std::string out;
  put_varint(out, v.process);
  put_varint(out, v.read_all ? 1 : 0);
  put_varint(out, v.from);
  put_varint(out, v.to);
  put_varint(out, v.newest);
  put_varint(out, v.jobs.size());
  for (const auto& job : v.jobs) put_text(out, job);
  return out;
}

std::optional<cancellation::CancellationBatch> decode_cancellation_batch(std::string_view text) {
  VarintReader in(text);
  cancellation::CancellationBatch v;
  v.process = in.integer();
  v.read_all = in.integer() != 0;
  v.from = in.integer();
  v.to = in.integer();
  v.newest = in.integer();
  const auto n = in.integer();
  for (std::uint64_t i = 0; i < n && in.ok(); ++i) v.jobs.emplace_back(in.text());
  if (!in.ok() || v.from > v.to || v.to > v.newest) return std::nullopt;
  return v;
}

}  // namespace hitchfront::wire
