// Varint codec of cancellation::CancellationBatch, which accompanies a vote abstention between
// controllers (wire/peer.hpp).
#pragma once
#include "cancellation/cancellation_log.hpp"

namespace hitchfront::wire {

std::string encode(const cancellation::CancellationBatch& batch);
// Returns nullopt if the text is malformed, or empty as sent by versions without batches.
std::optional<cancellation::CancellationBatch> decode_cancellation_batch(std::string_view text);

}  // namespace hitchfront::wire
