// The allocation log: which tasks may be on which machine, stored before the first of them is
// launched there, so that a new leader knows its fleet from the store alone. This class knows which
// part of it stands where in the store, what has changed since, and when a part is written next;
// what a machine holds is its user's to say. Pure: time comes in.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hitchfront::allocation {

using Ms = std::int64_t;
using Names = std::set<std::string>;

struct Limits {
  std::size_t chunk_most = 0;  // characters of a chunk's value; past it, the chunk is divided
  std::size_t batch_most = 0;  // characters of the values in one transaction
  int changes_most = 0;        // in one transaction
  double writes_per_s = 0;     // chunks written a second, on average
  Ms soon_ms = 0;              // within which a change that nothing waits for is written
};

class AllocationLog {
 public:
  explicit AllocationLog(Limits limits) : limits_(limits) {}

  // What the store holds; before anything else.
  // Chunks that may be written a second from now on: what the leader has of the store's rate moves.
  void set_rate(double writes_per_s) { limits_.writes_per_s = writes_per_s; }
  void load(std::uint32_t chunk, std::uint64_t version, const Names& machines);

  void add(Ms now, const std::string& machine);
  void remove(Ms now, const std::string& machine);   // proved to hold nothing
  void changed(Ms now, const std::string& machine);  // to be stored soon
  void needed(Ms now, const std::string& machine);   // a launch waits for it
  void all_changed(Ms now);

  struct Write {
    std::uint32_t chunk = 0;
    std::uint64_t version = 0;  // that it must have; 0: none
    std::string value;          // empty: no machine is left in it, and it is dropped
  };
  struct Batch {
    std::uint64_t number = 0;  // of this allocation log's life, from 1
    std::vector<Write> writes;
  };
  // The value of these machines as they are now.
  using Encode = std::function<std::string(const Names& machines, std::uint64_t batch)>;
  // What is to be written now, in one transaction: all or nothing. A chunk is in one batch at a
  // time.
  std::optional<Batch> next(Ms now, const Encode& encode);
  void stored(const Batch& batch, std::uint64_t revision);
  // Refused, or nobody knows: each chunk has to be read again before it is written next.
  void reread(Ms now, std::uint32_t chunk, std::uint64_t version);

  const Names& machines(std::uint32_t chunk) const;
  std::size_t chunks() const { return chunks_.size(); }
  std::uint64_t last_batch() const { return last_batch_; }
  // Every machine is in a chunk that was stored by a batch after this one.
  bool stored_since(std::uint64_t batch) const;

 private:
  struct Chunk {
    Names machines;
    std::uint64_t version = 0;
    std::uint64_t batch = 0;  // that last stored it
    std::size_t size = 0;     // of its last value
    Ms due = 0;               // 0: as stored
    bool needed = false, in_flight = false;
    std::optional<std::uint32_t>
        after;  // the chunk that half of it went to, until that one is stored
  };
  std::uint32_t chunk_with_space();
  bool may_write(Chunk& c);
  void touch(std::uint32_t chunk, Ms due, bool needed);
  void put(std::uint32_t number, Batch& batch, std::size_t& size, const Encode& encode);

  Limits limits_;
  std::map<std::uint32_t, Chunk> chunks_;
  std::map<std::string, std::uint32_t> where_;
  std::uint64_t last_batch_ = 0;
  Ms next_at_ = 0;
};

}  // namespace hitchfront::allocation
