#include "jobs/job_state.hpp"

#include "settings/constants.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::core {
using settings::kTasksPerProgressChunk;

void JobState::prepare(std::size_t zones) {
  phase.assign(spec.tasks, TaskPhase::waiting);
  stored.assign(spec.tasks, false);
  places.assign(spec.tasks, 0);
  waiting = spec.tasks;
  per_zone.assign(zones, 0);
  const auto n = (spec.tasks + kTasksPerProgressChunk - 1) / kTasksPerProgressChunk;
  chunk_version.assign(n, 0);
  chunk_dirty.assign(n, false);
  chunk_form.assign(n, wire::ProgressForm::bitmap);
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
      case TaskPhase::waiting:
        return waiting;
      case TaskPhase::placed:
        return placed;
      case TaskPhase::unknown:
        return unknown;
      case TaskPhase::done:
        return done;
    }
    return waiting;
  };
  --count(p);
  ++count(to);
  p = to;
  if (to == TaskPhase::waiting && task < fresh) again.push_back(task);
  if (to == TaskPhase::done) chunk_dirty[task / kTasksPerProgressChunk] = true;
}

std::string JobState::chunk_text(std::size_t chunk, wire::ProgressForm form) const {
  const std::size_t from = chunk * kTasksPerProgressChunk;
  const std::size_t to = std::min<std::size_t>(spec.tasks, from + kTasksPerProgressChunk);
  std::vector<bool> finished(to - from);
  for (std::size_t t = from; t < to; ++t) finished[t - from] = phase[t] == TaskPhase::done;
  return wire::encode_progress(finished, form);
}

void JobState::merge_chunk(std::size_t chunk, std::uint64_t stamp, const std::string& text) {
  const std::size_t from = chunk * kTasksPerProgressChunk;
  chunk_version[chunk] = stamp;
  const auto progress = wire::decode_progress(
      text,
      static_cast<std::uint32_t>(std::min<std::size_t>(spec.tasks - from, kTasksPerProgressChunk)));
  if (!progress) return;
  chunk_form[chunk] = progress->form;
  for (const auto i : progress->done) {
    const auto t = from + i;
    if (phase[t] != TaskPhase::placed) set(static_cast<std::uint32_t>(t), TaskPhase::done);
    if (!stored[t]) {
      stored[t] = true;
      ++stored_done;
    }
  }
}

std::size_t JobState::of_other_form(wire::ProgressForm form) const {
  std::size_t n = 0;
  for (std::size_t c = 0; c < chunks(); ++c)
    n += chunk_version[c] != 0 && !wire::is_of_form(chunk_form[c], form) ? 1 : 0;
  return n;
}

std::string JobState::chunk_key(std::size_t chunk) const {
  return wire::encode(wire::ProgressKey{spec.id, static_cast<std::uint32_t>(chunk)});
}

}  // namespace hitchfront::core
