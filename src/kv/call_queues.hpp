// FIFO queues of calls to the key-value store. Each rank has one queue for reads and one for
// writes, because writes are subject to an additional rate limit and must not block reads.
#pragma once
#include <array>
#include <cstddef>
#include <deque>

#include "core/effects.hpp"
#include "kv/data_loss_detector.hpp"
#include "kv/store_rank.hpp"

namespace hitchfront::core {

struct StoreCall {
  HttpCall call;
  ResponseCallback callback;
  int writes = 0;                       // puts and deletes; 0: a read
  int rate_limited_attempts = 0;        // attempts answered with 429
  Ms not_before = 0;                    // earliest time of the next attempt
  Ms queued_at = 0;                     // first time; retries do not change it
  DataLossDetector::Baseline baseline;  // as of the latest attempt
  // The callback gets the actual response even if a data loss has invalidated it.
  bool deliver_after_data_loss = false;
};

class CallQueues {
 public:
  enum class Kind { read, write };

  void push(StoreRank rank, StoreCall call);
  // The oldest call if it is due, otherwise null. A retry that is not due yet blocks the calls
  // behind it.
  const StoreCall* next_due(StoreRank rank, Kind kind, Ms now) const;
  StoreCall pop(StoreRank rank, Kind kind);
  // The oldest call, due or not; null if the queue is empty.
  const StoreCall* front(StoreRank rank, Kind kind) const;

  std::size_t size(StoreRank rank, Kind kind) const { return queue_of(rank, kind).size(); }
  double waiting_writes() const { return waiting_writes_; }  // puts and deletes of all ranks

 private:
  struct Queue {
    std::deque<StoreCall> reads, writes;
  };
  std::deque<StoreCall>& queue_of(StoreRank rank, Kind kind) {
    auto& queue = queues_[index_of(rank)];
    return kind == Kind::write ? queue.writes : queue.reads;
  }
  const std::deque<StoreCall>& queue_of(StoreRank rank, Kind kind) const {
    const auto& queue = queues_[index_of(rank)];
    return kind == Kind::write ? queue.writes : queue.reads;
  }

  std::array<Queue, kStoreRankCount> queues_;
  double waiting_writes_ = 0;
};

}  // namespace hitchfront::core
