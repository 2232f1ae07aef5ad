#include "allocation/allocation_log.hpp"

#include <algorithm>
#include <tuple>

namespace hitchfront::allocation {

void AllocationLog::load(std::uint32_t chunk, std::uint64_t version, const Names& machines) {
  auto& c = chunks_[chunk];
  c.version = version;
  for (const auto& m : machines)
    if (where_.emplace(m, chunk).second) c.machines.insert(m);
  // Left by a division that this life knows nothing of, or by an allocation log that is not
  // believed: dropped in time.
  if (c.machines.empty()) c.due = 1;
}

// A chunk that is far from full, or a new one.
std::uint32_t AllocationLog::chunk_with_space() {
  for (const auto& [number, c] : chunks_)
    if (c.size <= limits_.chunk_most / 2 && c.machines.size() < 2 * limits_.chunk_most / 100)
      return number;
  return chunks_.empty() ? 0 : chunks_.rbegin()->first + 1;
}

void AllocationLog::touch(std::uint32_t chunk, Ms due, bool needed) {
  auto& c = chunks_[chunk];
  c.due = c.due == 0 ? due : std::min(c.due, due);
  // Since when it is needed, not since when a change that nothing waits for was due.
  if (needed && !c.needed) c.due = due;
  c.needed = c.needed || needed;
}

void AllocationLog::add(Ms now, const std::string& machine) {
  if (where_.contains(machine)) return changed(now, machine);
  const auto chunk = chunk_with_space();
  where_[machine] = chunk;
  chunks_[chunk].machines.insert(machine);
  touch(chunk, now + limits_.soon_ms, false);
}

void AllocationLog::remove(Ms now, const std::string& machine) {
  const auto it = where_.find(machine);
  if (it == where_.end()) return;
  chunks_[it->second].machines.erase(machine);
  touch(it->second, now + limits_.soon_ms, false);
  where_.erase(it);
}

void AllocationLog::changed(Ms now, const std::string& machine) {
  const auto it = where_.find(machine);
  if (it != where_.end()) touch(it->second, now + limits_.soon_ms, false);
}

void AllocationLog::needed(Ms now, const std::string& machine) {
  const auto it = where_.find(machine);
  if (it != where_.end()) touch(it->second, now, true);
}

void AllocationLog::all_changed(Ms now) {
  for (const auto& [number, c] : chunks_) touch(number, now, false);
}

const Names& AllocationLog::machines(std::uint32_t chunk) const {
  static const Names none;
  const auto it = chunks_.find(chunk);
  return it == chunks_.end() ? none : it->second.machines;
}

bool AllocationLog::stored_since(std::uint64_t batch) const {
  return std::all_of(chunks_.begin(), chunks_.end(), [batch](const auto& c) {
    return c.second.machines.empty() || c.second.batch > batch;
  });
}

// A chunk that has grown too large is divided. The new half is stored first; until it is, the old
// value, which has all the machines, stays: written the other way round, half of them would be
// nowhere for a while.
void AllocationLog::put(std::uint32_t number, Batch& batch, std::size_t& size,
                        const Encode& encode) {
  auto& c = chunks_[number];
  std::string value = c.machines.empty() ? std::string() : encode(c.machines, batch.number);
  if (value.size() > limits_.chunk_most && c.machines.size() > 1) {
    const auto other = chunks_.rbegin()->first + 1;
    auto& half = chunks_[other];
    auto from = c.machines.begin();
    std::advance(from, static_cast<std::ptrdiff_t>(c.machines.size() / 2));
    half.machines.insert(from, c.machines.end());
    c.machines.erase(from, c.machines.end());
    for (const auto& m : half.machines) where_[m] = other;
    c.after = other;
    half.due = c.due;
    half.needed = c.needed;
    return put(other, batch, size, encode);
  }
  c.due = 0;
  c.needed = false;
  c.in_flight = true;
  c.size = value.size();
  size += value.size();
  batch.writes.push_back({number, c.version, std::move(value)});
}

bool AllocationLog::may_write(Chunk& c) {
  if (c.in_flight) return false;
  if (!c.after) return true;
  const auto other = chunks_.find(*c.after);
  if (other != chunks_.end() && other->second.batch == 0) return false;
  c.after.reset();
  return true;
}

std::optional<AllocationLog::Batch> AllocationLog::next(Ms now, const Encode& encode) {
  if (now < next_at_) return std::nullopt;
  // What launches wait for goes first, and of that what has waited longest: by their numbers, the
  // last of thirty chunks of which twelve fit a transaction were not written for as long as
  // launches came for the first.
  std::vector<std::tuple<bool, Ms, std::uint32_t>> open;
  for (auto& [number, c] : chunks_)
    if (c.due != 0 && c.due <= now && may_write(c)) open.emplace_back(!c.needed, c.due, number);
  if (open.empty()) return std::nullopt;
  std::sort(open.begin(), open.end());
  Batch batch;
  batch.number = ++last_batch_;
  std::size_t size = 0;
  for (const auto& [later, due, number] : open) {
    const auto n = batch.writes.size();
    if (n > 0 && (static_cast<int>(n) >= limits_.changes_most ||
                  size + limits_.chunk_most > limits_.batch_most))
      break;
    put(number, batch, size, encode);
  }
  next_at_ =
      now + static_cast<Ms>(static_cast<double>(batch.writes.size()) * 1000 / limits_.writes_per_s);
  return batch;
}

void AllocationLog::stored(const Batch& batch, std::uint64_t revision) {
  for (const auto& w : batch.writes) {
    const auto it = chunks_.find(w.chunk);
    if (it == chunks_.end()) continue;
    auto& c = it->second;
    c.in_flight = false;
    c.version = w.value.empty() ? 0 : revision;
    c.batch = batch.number;
    if (c.machines.empty() && c.version == 0) chunks_.erase(it);
  }
}

void AllocationLog::reread(Ms now, std::uint32_t chunk, std::uint64_t version) {
  auto& c = chunks_[chunk];
  c.version = version;
  c.in_flight = false;
  touch(chunk, now, true);
}

}  // namespace hitchfront::allocation
