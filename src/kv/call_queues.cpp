#include "kv/call_queues.hpp"

#include <utility>

namespace hitchfront::core {

void CallQueues::push(StoreRank rank, StoreCall call) {
  waiting_writes_ += call.writes;
  const auto kind = call.writes > 0 ? Kind::write : Kind::read;
  queue_of(rank, kind).push_back(std::move(call));
}

const StoreCall* CallQueues::front(StoreRank rank, Kind kind) const {
  const auto& queue = queue_of(rank, kind);
  return queue.empty() ? nullptr : &queue.front();
}

const StoreCall* CallQueues::next_due(StoreRank rank, Kind kind, Ms now) const {
  const auto* call = front(rank, kind);
  return call != nullptr && call->not_before <= now ? call : nullptr;
}

StoreCall CallQueues::pop(StoreRank rank, Kind kind) {
  auto& queue = queue_of(rank, kind);
  auto call = std::move(queue.front());
  queue.pop_front();
  waiting_writes_ -= call.writes;
  return call;
}

}  // namespace hitchfront::core
