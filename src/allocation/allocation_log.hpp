// The allocation log: which tasks may be on which machine. It is stored before a task is launched,
// so that a new leader knows its fleet from the store alone. This class decides which chunk of the
// log holds which machine, which chunks have changed, and when they are written; its user encodes
// and writes them. Does no I/O: the time is passed in.
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
using MachineNames = std::set<std::string>;

struct Limits {
  std::size_t max_chunk_bytes = 0;  // of a chunk's value; a larger chunk is split
  std::size_t max_batch_bytes = 0;  // of the values in one transaction
  int max_batch_writes = 0;         // chunks written by one transaction
  double writes_per_s = 0;          // chunks written, on average
  Ms max_write_delay_ms = 0;        // for changes that no launch waits for
};

class AllocationLog {
 public:
  explicit AllocationLog(Limits limits) : limits_(limits) {}

  // Limits the chunks written from now on. The leader's share of the store's write rate varies.
  void set_rate(double writes_per_s) { limits_.writes_per_s = writes_per_s; }
  // Adds a chunk that the store holds. Called before all other changes. An empty chunk is deleted
  // by a later batch, unless machines are added to it first.
  void load(std::uint32_t chunk, std::uint64_t version, const MachineNames& machines);

  void add(Ms now, const std::string& machine);
  // Called when the machine was returned or is otherwise known to hold no task.
  void remove(Ms now, const std::string& machine);
  // Schedules a write within Limits::max_write_delay_ms.
  void mark_changed(Ms now, const std::string& machine);
  // Schedules a write as soon as possible, because a launch waits for it.
  void mark_urgent(Ms now, const std::string& machine);
  void mark_all_changed(Ms now);

  struct Write {
    std::uint32_t chunk = 0;
    std::uint64_t version = 0;  // expected in the store; 0: the chunk does not exist
    std::string value;          // empty: the chunk is to be deleted
  };
  struct Batch {
    std::uint64_t number = 0;  // counts the batches of this object, from 1
    std::vector<Write> writes;
  };
  // Encodes the current state of these machines. `batch`: the number of the batch that stores it.
  using Encode = std::function<std::string(const MachineNames& machines, std::uint64_t batch)>;
  // Returns the chunks to be written now, in one transaction, if there are any and the rate allows
  // it. Until stored() or reread() is called for a chunk, it is in no other batch.
  std::optional<Batch> next(Ms now, const Encode& encode);
  // Called when the batch was committed.
  void stored(const Batch& batch, std::uint64_t revision);
  // Called for each chunk of a batch that was rejected, or whose result is unknown, after the chunk
  // has been read again. `version` is the one found in the store; 0: the chunk does not exist.
  void reread(Ms now, std::uint32_t chunk, std::uint64_t version);

  const MachineNames& machines(std::uint32_t chunk) const;
  std::size_t chunks() const { return chunks_.size(); }
  std::uint64_t last_batch() const { return last_batch_; }
  // Whether each machine is in a chunk that was stored by a batch after this one.
  bool all_stored_after(std::uint64_t batch) const;

 private:
  struct Chunk {
    MachineNames machines;
    std::uint64_t version = 0;
    std::uint64_t batch = 0;      // the last that stored it
    std::size_t value_bytes = 0;  // of its last value
    Ms due_at = 0;                // 0: unchanged since it was stored
    bool urgent = false, in_flight = false;
    // The chunk that took over half of its machines, until that one is stored.
    std::optional<std::uint32_t> split_target;
  };
  std::uint32_t chunk_with_space();
  bool may_write(Chunk& chunk);
  void schedule_write(std::uint32_t chunk, Ms due_at, bool urgent);
  void add_write(std::uint32_t number, Batch& batch, std::size_t& batch_bytes,
                 const Encode& encode);

  Limits limits_;
  std::map<std::uint32_t, Chunk> chunks_;
  std::map<std::string, std::uint32_t> chunk_of_machine_;
  std::uint64_t last_batch_ = 0;
  Ms next_write_at_ = 0;
};

}  // namespace hitchfront::allocation
