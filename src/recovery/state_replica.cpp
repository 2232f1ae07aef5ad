#include "recovery/state_replica.hpp"

#include <algorithm>

namespace hitchfront::recovery {
namespace {

// A part is a sequence of entries, each beginning with its kind and its job. The values are part of
// the protocol between controllers.
enum class EntryKind : std::uint64_t { unfinished = 1, progress = 2, outcome = 3 };

// Packs a count and a flag into one number, with the flag in the lowest bit.
std::uint64_t pack(std::uint32_t count, bool flag) {
  return static_cast<std::uint64_t>(count) << 1 | (flag ? 1U : 0U);
}
bool packed_flag(std::uint64_t packed) {
  return (packed & 1) != 0;
}
std::uint32_t packed_count(std::uint64_t packed) {
  return static_cast<std::uint32_t>(packed >> 1);
}

std::string begin_entry(EntryKind kind, const std::string& job) {
  std::string entry;
  wire::put_varint(entry, static_cast<std::uint64_t>(kind));
  wire::put_text(entry, job);
  return entry;
}

std::string encode_unfinished(const std::string& job, const ReplicatedJob& unfinished) {
  auto entry = begin_entry(EntryKind::unfinished, job);
  wire::put_text(entry, unfinished.record);
  wire::put_varint(entry, pack(unfinished.launch_watermark, unfinished.cancelled));
  return entry;
}

std::string encode_progress(const std::string& job, std::uint32_t chunk, const std::string& text) {
  auto entry = begin_entry(EntryKind::progress, job);
  wire::put_varint(entry, chunk);
  wire::put_text(entry, text);
  return entry;
}

std::string encode_outcome(const std::string& job, const wire::JobOutcome& outcome) {
  auto entry = begin_entry(EntryKind::outcome, job);
  wire::put_varint(entry, pack(outcome.done, outcome.cancelled));
  return entry;
}

// Estimated memory use of one entry, excluding its texts.
constexpr std::size_t kOutcomeOverheadBytes = 160;
constexpr std::size_t kUnfinishedOverheadBytes = 160;
constexpr std::size_t kProgressOverheadBytes = 120;

}  // namespace

void StateReplica::add_unfinished(const std::string& job, std::string record, bool cancelled,
                                  std::uint32_t launch_watermark) {
  if (outcomes_.contains(job)) return;
  auto& unfinished = unfinished_[job];
  unfinished.cancelled = unfinished.cancelled || cancelled;
  if (cancelled && on_cancelled) on_cancelled(job);
  unfinished.launch_watermark = std::max(unfinished.launch_watermark, launch_watermark);
  // Which of two texts is kept affects display only: the job description never changes, and the
  // fields that do are merged above. Keeping the greater one makes the merge commutative.
  if (unfinished.record.empty() || record > unfinished.record)
    unfinished.record = std::move(record);
}

void StateReplica::set_progress(const std::string& job, std::uint32_t chunk, std::string text) {
  if (outcomes_.contains(job)) return;
  unfinished_[job].progress[chunk] = {std::move(text)};
}

void StateReplica::add_outcome(const std::string& job, const wire::JobOutcome& outcome) {
  unfinished_.erase(job);
  if (on_outcome) on_outcome(job);
  const auto [it, inserted] = outcomes_.emplace(job, outcome);
  if (!inserted) {
    // A job that was cancelled first is never acknowledged as done, so the completion came first.
    if (it->second.cancelled && !outcome.cancelled) it->second = outcome;
    return;
  }
  outcome_order_.push_back(job);
  while (outcomes_.size() > max_outcomes_) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
}

std::optional<wire::JobOutcome> StateReplica::outcome_of(const std::string& job) const {
  const auto it = outcomes_.find(job);
  return it == outcomes_.end() ? std::nullopt : std::optional(it->second);
}

bool StateReplica::is_cancelled(const std::string& job) const {
  const auto it = unfinished_.find(job);
  return it != unfinished_.end() && it->second.cancelled;
}

std::size_t StateReplica::bytes() const {
  std::size_t total = outcomes_.size() * kOutcomeOverheadBytes;
  for (const auto& [job, unfinished] : unfinished_) {
    total += kUnfinishedOverheadBytes + unfinished.record.size();
    for (const auto& [chunk, texts] : unfinished.progress)
      for (const auto& text : texts) total += kProgressOverheadBytes + text.size();
  }
  return total;
}

std::vector<std::string> StateReplica::encode(std::size_t max_part_bytes) const {
  std::vector<std::string> parts(1);
  const auto append = [&](const std::string& entry) {
    if (!parts.back().empty() && parts.back().size() + entry.size() > max_part_bytes)
      parts.emplace_back();
    parts.back() += entry;
  };
  for (const auto& [job, unfinished] : unfinished_) {
    if (!unfinished.record.empty()) append(encode_unfinished(job, unfinished));
    for (const auto& [chunk, texts] : unfinished.progress)
      for (const auto& text : texts) append(encode_progress(job, chunk, text));
  }
  for (const auto& job : outcome_order_) append(encode_outcome(job, outcomes_.at(job)));
  return parts;
}

bool StateReplica::merge(std::string_view part) {
  wire::VarintReader reader(part);
  while (!reader.at_end()) {
    const auto kind = static_cast<EntryKind>(reader.integer());
    const std::string job(reader.text());
    if (!reader.ok()) return false;
    bool merged = false;  // stays false for an unknown kind, whose length is unknown
    if (kind == EntryKind::unfinished) merged = merge_unfinished(job, reader);
    if (kind == EntryKind::progress) merged = merge_progress(job, reader);
    if (kind == EntryKind::outcome) merged = merge_outcome(job, reader);
    if (!merged) return false;
  }
  return reader.ok();
}

bool StateReplica::merge_unfinished(const std::string& job, wire::VarintReader& reader) {
  std::string record(reader.text());
  const auto packed = reader.integer();
  if (!reader.ok()) return false;
  add_unfinished(job, std::move(record), packed_flag(packed), packed_count(packed));
  return true;
}

bool StateReplica::merge_progress(const std::string& job, wire::VarintReader& reader) {
  const auto chunk = static_cast<std::uint32_t>(reader.integer());
  std::string text(reader.text());
  if (!reader.ok()) return false;
  if (!outcomes_.contains(job)) unfinished_[job].progress[chunk].insert(std::move(text));
  return true;
}

bool StateReplica::merge_outcome(const std::string& job, wire::VarintReader& reader) {
  const auto packed = reader.integer();
  if (!reader.ok()) return false;
  add_outcome(job, {packed_flag(packed), packed_count(packed)});
  return true;
}

void StateReplica::merge(const StateReplica& other) {
  for (const auto& job : other.outcome_order_) add_outcome(job, other.outcomes_.at(job));
  for (const auto& [job, other_job] : other.unfinished_) {
    if (!other_job.record.empty())
      add_unfinished(job, other_job.record, other_job.cancelled, other_job.launch_watermark);
    if (outcomes_.contains(job)) continue;
    for (const auto& [chunk, texts] : other_job.progress)
      unfinished_[job].progress[chunk].insert(texts.begin(), texts.end());
  }
}

}  // namespace hitchfront::recovery
