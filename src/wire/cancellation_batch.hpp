// What an abstention between controllers vouches with (cancellation/), and what the leader has
// taken in of it, varint coded.
#pragma once
#include "cancellation/cancellation_log.hpp"

namespace hitchfront::wire {

std::string encode(const cancellation::CancellationBatch& batch);
// Nothing: malformed, or from an earlier version, which covers nothing.
std::optional<cancellation::CancellationBatch> decode_cancellation_batch(std::string_view text);

}  // namespace hitchfront::wire
