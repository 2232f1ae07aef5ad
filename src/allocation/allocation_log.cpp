#include "allocation/allocation_log.hpp"

#include <algorithm>
#include <tuple>

namespace hitchfront::allocation {

void AllocationLog::load(std::uint32_t chunk, std::uint64_t version, const MachineNames& machines) {
  auto& loaded = chunks_[chunk];
  loaded.version = version;
  for (const auto& machine : machines)
    if (chunk_of_machine_.emplace(machine, chunk).second) loaded.machines.insert(machine);
  // Left over from a split under an earlier leader, or part of a log that is not trusted. Due at
  // once: it will be deleted, or overwritten if machines have been added to it by then.
  if (loaded.machines.empty()) loaded.due_at = 1;
}

// Returns a chunk that is at most half full, or the number of a new one. The number of machines is
// limited as well, because `value_bytes` does not count machines added since the last write.
std::uint32_t AllocationLog::chunk_with_space() {
  for (const auto& [number, chunk] : chunks_)
    if (chunk.value_bytes <= limits_.max_chunk_bytes / 2 &&
        chunk.machines.size() < 2 * limits_.max_chunk_bytes / 100)
      return number;
  return chunks_.empty() ? 0 : chunks_.rbegin()->first + 1;
}

void AllocationLog::schedule_write(std::uint32_t chunk, Ms due_at, bool urgent) {
  auto& scheduled = chunks_[chunk];
  scheduled.due_at = scheduled.due_at == 0 ? due_at : std::min(scheduled.due_at, due_at);
  // Urgent chunks are written in the order in which they became urgent.
  if (urgent && !scheduled.urgent) scheduled.due_at = due_at;
  scheduled.urgent = scheduled.urgent || urgent;
}

void AllocationLog::add(Ms now, const std::string& machine) {
  if (chunk_of_machine_.contains(machine)) return mark_changed(now, machine);
  const auto chunk = chunk_with_space();
  chunk_of_machine_[machine] = chunk;
  chunks_[chunk].machines.insert(machine);
  schedule_write(chunk, now + limits_.max_write_delay_ms, false);
}

void AllocationLog::remove(Ms now, const std::string& machine) {
  const auto it = chunk_of_machine_.find(machine);
  if (it == chunk_of_machine_.end()) return;
  chunks_[it->second].machines.erase(machine);
  schedule_write(it->second, now + limits_.max_write_delay_ms, false);
  chunk_of_machine_.erase(it);
}

void AllocationLog::mark_changed(Ms now, const std::string& machine) {
  const auto it = chunk_of_machine_.find(machine);
  if (it != chunk_of_machine_.end())
    schedule_write(it->second, now + limits_.max_write_delay_ms, false);
}

void AllocationLog::mark_urgent(Ms now, const std::string& machine) {
  const auto it = chunk_of_machine_.find(machine);
  if (it != chunk_of_machine_.end()) schedule_write(it->second, now, true);
}

void AllocationLog::mark_all_changed(Ms now) {
  for (const auto& [number, chunk] : chunks_) schedule_write(number, now, false);
}

const MachineNames& AllocationLog::machines(std::uint32_t chunk) const {
  static const MachineNames none;
  const auto it = chunks_.find(chunk);
  return it == chunks_.end() ? none : it->second.machines;
}

bool AllocationLog::all_stored_after(std::uint64_t batch) const {
  return std::all_of(chunks_.begin(), chunks_.end(), [batch](const auto& entry) {
    return entry.second.machines.empty() || entry.second.batch > batch;
  });
}

// A chunk that has grown too large is split. The new chunk is stored first, and until then the old
// one keeps its stored value with all machines: in the opposite order half of the machines would be
// missing from the store in between.
void AllocationLog::add_write(std::uint32_t number, Batch& batch, std::size_t& batch_bytes,
                              const Encode& encode) {
  auto& chunk = chunks_[number];
  std::string value = chunk.machines.empty() ? std::string() : encode(chunk.machines, batch.number);
  if (value.size() > limits_.max_chunk_bytes && chunk.machines.size() > 1) {
    const auto other = chunks_.rbegin()->first + 1;
    auto& half = chunks_[other];
    auto from = chunk.machines.begin();
    std::advance(from, static_cast<std::ptrdiff_t>(chunk.machines.size() / 2));
    half.machines.insert(from, chunk.machines.end());
    chunk.machines.erase(from, chunk.machines.end());
    for (const auto& machine : half.machines) chunk_of_machine_[machine] = other;
    chunk.split_target = other;
    half.due_at = chunk.due_at;
    half.urgent = chunk.urgent;
    return add_write(other, batch, batch_bytes, encode);
  }
  chunk.due_at = 0;
  chunk.urgent = false;
  chunk.in_flight = true;
  chunk.value_bytes = value.size();
  batch_bytes += value.size();
  batch.writes.push_back({number, chunk.version, std::move(value)});
}

bool AllocationLog::may_write(Chunk& chunk) {
  if (chunk.in_flight) return false;
  if (!chunk.split_target) return true;
  const auto other = chunks_.find(*chunk.split_target);
  if (other != chunks_.end() && other->second.batch == 0) return false;
  chunk.split_target.reset();
  return true;
}

std::optional<AllocationLog::Batch> AllocationLog::next(Ms now, const Encode& encode) {
  if (now < next_write_at_) return std::nullopt;
  // Urgent chunks go first, and among equals those that have waited longest: in the order of their
  // numbers the last chunks could be delayed indefinitely.
  std::vector<std::tuple<bool, Ms, std::uint32_t>> candidates;
  for (auto& [number, chunk] : chunks_)
    if (chunk.due_at != 0 && chunk.due_at <= now && may_write(chunk))
      candidates.emplace_back(!chunk.urgent, chunk.due_at, number);
  if (candidates.empty()) return std::nullopt;
  std::sort(candidates.begin(), candidates.end());
  Batch batch;
  batch.number = ++last_batch_;
  std::size_t batch_bytes = 0;
  for (const auto& [not_urgent, due_at, number] : candidates) {
    const auto write_count = batch.writes.size();
    if (write_count > 0 && (static_cast<int>(write_count) >= limits_.max_batch_writes ||
                            batch_bytes + limits_.max_chunk_bytes > limits_.max_batch_bytes))
      break;
    add_write(number, batch, batch_bytes, encode);
  }
  next_write_at_ =
      now + static_cast<Ms>(static_cast<double>(batch.writes.size()) * 1000 / limits_.writes_per_s);
  return batch;
}

void AllocationLog::stored(const Batch& batch, std::uint64_t revision) {
  for (const auto& write : batch.writes) {
    const auto it = chunks_.find(write.chunk);
    if (it == chunks_.end()) continue;
    auto& chunk = it->second;
    chunk.in_flight = false;
    chunk.version = write.value.empty() ? 0 : revision;
    chunk.batch = batch.number;
    if (chunk.machines.empty() && chunk.version == 0) chunks_.erase(it);
  }
}

void AllocationLog::reread(Ms now, std::uint32_t chunk, std::uint64_t version) {
  auto& found = chunks_[chunk];
  found.version = version;
  found.in_flight = false;
  schedule_write(chunk, now, true);
}

}  // namespace hitchfront::allocation
