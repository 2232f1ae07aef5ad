// Calls that wait to be sent to the state service, by rank, reads and writes apart: a write waits
// for more than a read does, and must not keep reads behind it. Each is first in, first out.
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
  ResponseCallback done;
  int writes = 0;                 // puts and deletes; 0: a read
  int tries = 0;                  // responses of 429 so far
  Ms not_before = 0;              // of a retry
  Ms born = 0;                    // when it was first queued
  DataLossDetector::Asked asked;  // what was known when it was sent
  bool raw = false;  // its response reaches its sender even where a loss has come in between
};

class CallQueues {
 public:
  enum class Kind { read, write };

  void push(StoreRank rank, StoreCall call);
  // The next one that is due, or null. A retry that is not due yet holds up what is behind it, for
  // 150 ms at the most.
  const StoreCall* next(StoreRank rank, Kind kind, Ms now) const;
  StoreCall pop(StoreRank rank, Kind kind);
  // The oldest, due or not; null: none waits.
  const StoreCall* front(StoreRank rank, Kind kind) const;

  std::size_t size(StoreRank rank, Kind kind) const { return of(rank, kind).size(); }
  double waiting_writes() const { return waiting_writes_; }  // puts and deletes of all ranks

 private:
  struct Queue {
    std::deque<StoreCall> reads, writes;
  };
  std::deque<StoreCall>& of(StoreRank rank, Kind kind) {
    auto& queue = queues_[index_of(rank)];
    return kind == Kind::write ? queue.writes : queue.reads;
  }
  const std::deque<StoreCall>& of(StoreRank rank, Kind kind) const {
    const auto& queue = queues_[index_of(rank)];
    return kind == Kind::write ? queue.writes : queue.reads;
  }

  std::array<Queue, kStoreRanks> queues_;
  double waiting_writes_ = 0;
};

}  // namespace hitchfront::core
