// Write-ahead logging of launches: every launch is in the stored allocation log before it is put
// into a response. The safety argument is in docs/safety.md, "The allocation log".
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "allocation/allocation_log.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "wire/allocation.hpp"

namespace hitchfront::core {

// Notified of stored assignments and of the current write rate.
class AllocationListener {
 public:
  virtual ~AllocationListener() = default;
  // Assignments of the machine are stored: they may be launched.
  virtual void on_launches_recorded(Ms now, Machine& machine) = 0;
  // The leader's current share of the store's write rate. Called before each attempt to write.
  virtual void on_write_rate(double writes_per_s) = 0;
};

class AllocationRecorder {
 public:
  AllocationRecorder(LeaderContext& context, LeaderState& state, AllocationListener& listener);

  // An operator setting. When off, nothing is written, and launches don't wait for the log.
  bool enabled() const { return enabled_; }

  struct StoredChunk {
    std::uint32_t chunk = 0;
    std::uint64_t version = 0;
    std::vector<wire::MachineAllocation> machines;
  };
  // Reads the stored allocation log, retrying until the store answers, and passes it to
  // `on_loaded`.
  using OnLoaded = std::function<void(Ms now, const std::vector<StoredChunk>& chunks)>;
  void load(Ms now, const OnLoaded& on_loaded);
  // Takes over a stored chunk. `trusted`: its machines stay in it; otherwise only its version is
  // kept, and the chunk is overwritten or deleted.
  void adopt(const StoredChunk& chunk, bool trusted);
  // Keeps the stored entry of a machine whose type is unknown here. It is written back unchanged
  // until it is taken, or forget_unknown_types() is called.
  void keep_unknown_type(const wire::MachineAllocation& machine);
  bool has_unknown_types() const { return !unknown_types_.empty(); }
  std::size_t unknown_type_count() const { return unknown_types_.size(); }
  // Returns the kept entries, by machine, and keeps none of them. The caller has to restore each
  // machine or keep its entry again before anything is written.
  using StoredMachines = std::map<std::string, wire::MachineAllocation>;
  StoredMachines take_unknown_types() { return std::exchange(unknown_types_, {}); }
  void forget_unknown_types(Ms now);

  void add(Ms now, const std::string& machine);
  // The machine must be proved to have no tasks.
  void remove(Ms now, const std::string& machine);
  // Schedules a write of the machine's entry within kMaxAllocationWriteDelayMs.
  void mark_changed(Ms now, const std::string& machine);
  // Schedules a write of the machine's entry at once: a launch waits for it.
  void mark_urgent(Ms now, const std::string& machine);

  // Writes the chunks that are due, as far as the write rate allows. Called on each tick.
  void write(Ms now);
  // Rewrites the whole log, and marks it as complete once it is stored. All tasks that may be
  // running must be known.
  void rewrite_as_complete(Ms now);

 private:
  void load_page(Ms now, const std::string& after, const OnLoaded& on_loaded);
  StoredChunk parse_chunk(Ms now, const wire::Item& item);
  void commit(Ms now, allocation::AllocationLog::Batch batch);
  void on_stored(Ms now, const allocation::AllocationLog::Batch& batch);
  void mark_recorded(Ms now, Machine& machine, std::uint64_t batch);
  void mark_complete_if_stored(Ms now);
  void reread_chunks(Ms now);
  std::string encode_chunk(const allocation::MachineNames& names, std::uint64_t batch);
  void encode_machine(wire::AllocationWriter& writer, Machine& machine, std::uint64_t batch);

  LeaderContext& context_;
  LeaderState& state_;
  AllocationListener& listener_;
  const bool enabled_;
  allocation::AllocationLog log_;
  std::vector<StoredChunk> loaded_chunks_;  // read by load() so far
  // When to read each chunk whose stored version is unknown.
  std::map<std::uint32_t, Ms> reread_at_;
  StoredMachines unknown_types_;
  // The log becomes complete when every machine has been stored by a later batch than this. 0: it
  // is complete already, or rewrite_as_complete() has not been called.
  std::uint64_t complete_after_batch_ = 0;
  bool marking_complete_ = false;
};

}  // namespace hitchfront::core
