#include "jobs/job_state.hpp"

#include "settings/constants.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::core {
using settings::kTasksPerProgressChunk;

void JobState::initialize_tasks(std::size_t zone_count) {
  phase.assign(spec.tasks, TaskPhase::waiting);
  completion_stored.assign(spec.tasks, false);
  placement_counts.assign(spec.tasks, 0);
  waiting = spec.tasks;
  placements_per_zone.assign(zone_count, 0);
  const auto chunk_count = (spec.tasks + kTasksPerProgressChunk - 1) / kTasksPerProgressChunk;
  chunk_version.assign(chunk_count, 0);
  chunk_dirty.assign(chunk_count, false);
  chunk_form.assign(chunk_count, wire::ProgressForm::bitmap);
}

std::int64_t JobState::next_waiting() {
  while (!requeued.empty()) {
    const auto task = requeued.front();
    if (phase[task] == TaskPhase::waiting) return task;
    requeued.pop_front();
  }
  while (first_fresh_task < spec.tasks && phase[first_fresh_task] != TaskPhase::waiting)
    ++first_fresh_task;
  return first_fresh_task < spec.tasks ? static_cast<std::int64_t>(first_fresh_task) : -1;
}

void JobState::set_phase(std::uint32_t task, TaskPhase to) {
  auto& current = phase[task];
  if (current == to) return;
  const auto count_of = [this](TaskPhase counted) -> std::uint32_t& {
    switch (counted) {
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
  --count_of(current);
  ++count_of(to);
  current = to;
  if (to == TaskPhase::waiting && task < first_fresh_task) requeued.push_back(task);
  if (to == TaskPhase::done) chunk_dirty[task / kTasksPerProgressChunk] = true;
}

std::string JobState::encode_chunk(std::size_t chunk, wire::ProgressForm form) const {
  const std::size_t from = chunk * kTasksPerProgressChunk;
  const std::size_t to = std::min<std::size_t>(spec.tasks, from + kTasksPerProgressChunk);
  std::vector<bool> finished(to - from);
  for (std::size_t task = from; task < to; ++task)
    finished[task - from] = phase[task] == TaskPhase::done;
  return wire::encode_progress(finished, form);
}

void JobState::merge_chunk(std::size_t chunk, std::uint64_t stored_version,
                           const std::string& text) {
  const std::size_t from = chunk * kTasksPerProgressChunk;
  chunk_version[chunk] = stored_version;
  const auto progress = wire::decode_progress(
      text,
      static_cast<std::uint32_t>(std::min<std::size_t>(spec.tasks - from, kTasksPerProgressChunk)));
  if (!progress) return;
  chunk_form[chunk] = progress->form;
  for (const auto i : progress->done) {
    const auto task = from + i;
    if (phase[task] != TaskPhase::placed)
      set_phase(static_cast<std::uint32_t>(task), TaskPhase::done);
    if (!completion_stored[task]) {
      completion_stored[task] = true;
      ++stored_completions;
    }
  }
}

std::size_t JobState::chunks_in_other_form(wire::ProgressForm form) const {
  std::size_t count = 0;
  for (std::size_t chunk = 0; chunk < chunks(); ++chunk)
    count += chunk_version[chunk] != 0 && !wire::is_current_form(chunk_form[chunk], form) ? 1 : 0;
  return count;
}

std::string JobState::chunk_key(std::size_t chunk) const {
  return wire::encode(wire::ProgressKey{spec.id, static_cast<std::uint32_t>(chunk)});
}

}  // namespace hitchfront::core
