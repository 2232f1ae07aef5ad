// Records launches ahead: every launch is in the stored allocation log before it is in a response.
// docs/safety.md, "The allocation log", has the argument.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "allocation/allocation_log.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "wire/allocation.hpp"

namespace hitchfront::core {

// Who waits for what is recorded.
class AllocationListener {
 public:
  virtual ~AllocationListener() = default;
  // Assignments of the machine are recorded: their launches may go out.
  virtual void on_launches_recorded(Ms now, Machine& machine) = 0;
  // The part of the store's write rate that the leader has at present, in writes a second.
  virtual void on_write_rate(double writes_per_s) = 0;
};

class AllocationRecorder {
 public:
  AllocationRecorder(LeaderContext& context, LeaderState& state, AllocationListener& listener);

  // The operators may switch it off; then nothing is written, and nothing waits to be recorded.
  bool enabled() const { return enabled_; }

  struct StoredChunk {
    std::uint32_t chunk = 0;
    std::uint64_t version = 0;
    std::vector<wire::MachineAllocation> machines;
  };
  // Reads what is stored, and calls `done` with it; again and again until the store answers.
  using OnLoaded = std::function<void(Ms now, const std::vector<StoredChunk>& chunks)>;
  void load(Ms now, const OnLoaded& done);
  // What the store holds in a chunk. `trusted`: it names what may be running; else the chunk is
  // overwritten or dropped.
  void adopt(const StoredChunk& chunk, bool trusted);
  // A machine of a type that is not known here: written again as it is until
  // forget_unknown_types().
  void keep_unknown_type(const wire::MachineAllocation& machine);
  bool has_unknown_types() const { return !unknown_types_.empty(); }
  void forget_unknown_types(Ms now);

  void add(Ms now, const std::string& machine);
  void remove(Ms now, const std::string& machine);      // proved to hold nothing
  void changed(Ms now, const std::string& machine);     // to be stored soon
  void needed_now(Ms now, const std::string& machine);  // a launch waits for it

  // Writes what has to be written and may be.
  void write(Ms now);
  // Everything that may be running is known: once all of it is stored, the log is complete.
  void complete_from_here(Ms now);

 private:
  void load_page(Ms now, const std::string& after, const OnLoaded& done);
  StoredChunk parse_chunk(Ms now, const wire::Item& item);
  void commit(Ms now, allocation::AllocationLog::Batch batch);
  void on_stored(Ms now, const allocation::AllocationLog::Batch& batch);
  void note_recorded(Ms now, Machine& machine, std::uint64_t batch);
  void mark_complete_if_stored(Ms now);
  void reread(Ms now);
  std::string encode_chunk(const allocation::MachineNames& names, std::uint64_t batch);
  void encode_machine(wire::AllocationWriter& writer, Machine& machine, std::uint64_t batch);

  LeaderContext& context_;
  LeaderState& state_;
  AllocationListener& listener_;
  const bool enabled_;
  allocation::AllocationLog log_;
  std::vector<StoredChunk> loading_;       // what load() has read so far
  std::map<std::uint32_t, Ms> reread_at_;  // chunks whose version in the store is not known
  std::map<std::string, wire::MachineAllocation> unknown_types_;
  // Once everything was stored after this batch, the log is complete; 0: it is, or can't be yet.
  std::uint64_t complete_after_batch_ = 0;
  bool marking_complete_ = false;
};

}  // namespace hitchfront::core
