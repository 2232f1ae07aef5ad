#include "wire/cancellation_batch.hpp"

#include "wire/varint.hpp"

namespace hitchfront::wire {

std::string encode(const cancellation::CancellationBatch& batch) {
  std::string out;
  put_varint(out, batch.process);
  put_varint(out, batch.read_all ? 1 : 0);
  put_varint(out, batch.from);
  put_varint(out, batch.to);
  put_varint(out, batch.newest);
  put_varint(out, batch.jobs.size());
  for (const auto& job : batch.jobs) put_text(out, job);
  return out;
}

std::optional<cancellation::CancellationBatch> decode_cancellation_batch(std::string_view text) {
  VarintReader in(text);
  cancellation::CancellationBatch batch;
  batch.process = in.integer();
  batch.read_all = in.integer() != 0;
  batch.from = in.integer();
  batch.to = in.integer();
  batch.newest = in.integer();
  const auto job_count = in.integer();
  for (std::uint64_t i = 0; i < job_count && in.ok(); ++i) batch.jobs.emplace_back(in.text());
  if (!in.ok() || batch.from > batch.to || batch.to > batch.newest) return std::nullopt;
  return batch;
}

}  // namespace hitchfront::wire
