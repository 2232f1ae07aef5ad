#include "core/jobs.hpp"

#include "settings/constants.hpp"

namespace hitchfront::core {
using settings::kChunkTasks;

void JobState::prepare(std::size_t zones) {
  phase.assign(spec.tasks, TaskPhase::waiting);
  stored.assign(spec.tasks, false);
  places.assign(spec.tasks, 0);
  waiting = spec.tasks;
  per_zone.assign(zones, 0);
  const auto n = (spec.tasks + kChunkTasks - 1) / kChunkTasks;
  chunk_version.assign(n, 0);
  chunk_dirty.assign(n, false);
}

std::int64_t JobState::next_waiting() {
  while (!again.empty()) {
    const auto t = again.front();
    if (phase[t] == TaskPhase::waiting) return t;
    again.pop_front();
  }
  while (fresh < spec.tasks && phase[fresh] != TaskPhase::waiting) ++fresh;
  return fresh < spec.tasks ? static_cast<std::int64_t>(fresh) : -1;
}

void JobState::set(std::uint32_t task, TaskPhase to) {
  auto& p = phase[task];
  if (p == to) return;
  const auto count = [this](TaskPhase x) -> std::uint32_t& {
    switch (x) {
      case TaskPhase::waiting: return waiting;
      case TaskPhase::placed: return placed;
      case TaskPhase::doubt: return doubt;
      case TaskPhase::done: return done;
    }
    return waiting;
  };
  --count(p);
  ++count(to);
  p = to;
  if (to == TaskPhase::waiting && task < fresh) again.push_back(task);
  if (to == TaskPhase::done) chunk_dirty[task / kChunkTasks] = true;
}

std::string JobState::chunk_text(std::size_t chunk) const {
  static constexpr char digits[] = "0123456789abcdef";
  const std::size_t from = chunk * kChunkTasks;
  const std::size_t to = std::min<std::size_t>(spec.tasks, from + kChunkTasks);
  std::string hex;
  for (std::size_t t = from; t < to; t += 4) {
    int nibble = 0;
    for (std::size_t b = 0; b < 4 && t + b < to; ++b)
      if (phase[t + b] == TaskPhase::done) nibble |= 1 << b;
    hex.push_back(digits[nibble]);
  }
  while (!hex.empty() && hex.back() == '0') hex.pop_back();
  return '"' + hex + '"';
}

void JobState::merge_chunk(std::size_t chunk, const std::string& hex) {
  for (std::size_t i = 0; i < hex.size(); ++i) {
    const char c = hex[i];
    const int nibble = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : 0;
    for (std::size_t b = 0; b < 4; ++b) {
      const std::size_t t = chunk * kChunkTasks + i * 4 + b;
      if ((nibble >> b & 1) == 0 || t >= spec.tasks) continue;
      if (phase[t] != TaskPhase::placed) set(static_cast<std::uint32_t>(t), TaskPhase::done);
      if (!stored[t]) {
        stored[t] = true;
        ++stored_done;
      }
    }
  }
}

std::string JobState::chunk_key(std::size_t chunk) const {
  return "prog/" + spec.id + "/" + std::to_string(chunk);
}

}  // namespace hitchfront::core
