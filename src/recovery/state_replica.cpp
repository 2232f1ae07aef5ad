#include "recovery/state_replica.hpp"

#include <algorithm>

namespace hitchfront::recovery {
namespace {

// Of a part: each entry begins with its kind and its job. Read by the other controllers.
enum class Entry : std::uint64_t { unfinished = 1, progress = 2, outcome = 3 };

// A count and a flag in one number, the flag in the lowest bit.
std::uint64_t pack(std::uint32_t count, bool flag) {
  return static_cast<std::uint64_t>(count) << 1 | (flag ? 1U : 0U);
}
bool packed_flag(std::uint64_t packed) {
  return (packed & 1) != 0;
}
std::uint32_t packed_count(std::uint64_t packed) {
  return static_cast<std::uint32_t>(packed >> 1);
}

std::string begin_entry(Entry kind, const std::string& job) {
  std::string entry;
  wire::put_varint(entry, static_cast<std::uint64_t>(kind));
  wire::put_text(entry, job);
  return entry;
}

std::string encode_unfinished(const std::string& job, const Unfinished& unfinished) {
  auto entry = begin_entry(Entry::unfinished, job);
  wire::put_text(entry, unfinished.record);
  wire::put_varint(entry, pack(unfinished.launch_watermark, unfinished.cancelled));
  return entry;
}

std::string encode_progress(const std::string& job, std::uint32_t chunk, const std::string& text) {
  auto entry = begin_entry(Entry::progress, job);
  wire::put_varint(entry, chunk);
  wire::put_text(entry, text);
  return entry;
}

std::string encode_outcome(const std::string& job, const wire::JobOutcome& outcome) {
  auto entry = begin_entry(Entry::outcome, job);
  wire::put_varint(entry, pack(outcome.done, outcome.cancelled));
  return entry;
}

// bytes(): what one entry takes beside its texts.
constexpr std::size_t kOutcomeBytes = 160;  // two names, a record, nodes of a map and a queue
constexpr std::size_t kUnfinishedBytes = 160;
constexpr std::size_t kProgressBytes = 120;

}  // namespace

void StateReplica::add_unfinished(const std::string& job, std::string record, bool cancelled,
                                  std::uint32_t launch_watermark) {
  if (outcomes_.contains(job)) return;
  auto& unfinished = unfinished_[job];
  unfinished.cancelled = unfinished.cancelled || cancelled;
  if (cancelled && on_cancelled) on_cancelled(job);
  unfinished.launch_watermark = std::max(unfinished.launch_watermark, launch_watermark);
  // Which of two texts is kept matters for display only: the description never changes, and what
  // does is joined above.
  if (unfinished.record.empty() || record > unfinished.record)
    unfinished.record = std::move(record);
}

void StateReplica::set_progress(const std::string& job, std::uint32_t chunk, std::string text) {
  if (outcomes_.contains(job)) return;
  unfinished_[job].progress[chunk] = {std::move(text)};
}

void StateReplica::add_outcome(const std::string& job, const wire::JobOutcome& record) {
  unfinished_.erase(job);
  if (on_outcome) on_outcome(job);
  const auto [it, first] = outcomes_.emplace(job, record);
  if (!first) {
    // Done wins: nobody acknowledges that of a job that was cancelled before it was done.
    if (it->second.cancelled && !record.cancelled) it->second = record;
    return;
  }
  outcome_order_.push_back(job);
  while (outcomes_.size() > outcomes_most_) {
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
  std::size_t total = outcomes_.size() * kOutcomeBytes;
  for (const auto& [job, unfinished] : unfinished_) {
    total += kUnfinishedBytes + unfinished.record.size();
    for (const auto& [chunk, texts] : unfinished.progress)
      for (const auto& text : texts) total += kProgressBytes + text.size();
  }
  return total;
}

std::vector<std::string> StateReplica::encode(std::size_t part_most) const {
  std::vector<std::string> parts(1);
  const auto append = [&](const std::string& entry) {
    if (!parts.back().empty() && parts.back().size() + entry.size() > part_most)
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

bool StateReplica::join(std::string_view part) {
  wire::VarintReader in(part);
  while (!in.at_end()) {
    const auto kind = static_cast<Entry>(in.integer());
    const std::string job(in.text());
    if (!in.ok()) return false;
    bool joined = false;  // an unknown kind: where its entry ends is not known either
    if (kind == Entry::unfinished) joined = join_unfinished(job, in);
    if (kind == Entry::progress) joined = join_progress(job, in);
    if (kind == Entry::outcome) joined = join_outcome(job, in);
    if (!joined) return false;
  }
  return in.ok();
}

bool StateReplica::join_unfinished(const std::string& job, wire::VarintReader& in) {
  std::string record(in.text());
  const auto packed = in.integer();
  if (!in.ok()) return false;
  add_unfinished(job, std::move(record), packed_flag(packed), packed_count(packed));
  return true;
}

bool StateReplica::join_progress(const std::string& job, wire::VarintReader& in) {
  const auto chunk = static_cast<std::uint32_t>(in.integer());
  std::string text(in.text());
  if (!in.ok()) return false;
  if (!outcomes_.contains(job)) unfinished_[job].progress[chunk].insert(std::move(text));
  return true;
}

bool StateReplica::join_outcome(const std::string& job, wire::VarintReader& in) {
  const auto packed = in.integer();
  if (!in.ok()) return false;
  add_outcome(job, {packed_flag(packed), packed_count(packed)});
  return true;
}

void StateReplica::join(const StateReplica& other) {
  for (const auto& job : other.outcome_order_) add_outcome(job, other.outcomes_.at(job));
  for (const auto& [job, theirs] : other.unfinished_) {
    if (!theirs.record.empty())
      add_unfinished(job, theirs.record, theirs.cancelled, theirs.launch_watermark);
    if (outcomes_.contains(job)) continue;
    for (const auto& [chunk, texts] : theirs.progress)
      unfinished_[job].progress[chunk].insert(texts.begin(), texts.end());
  }
}

}  // namespace hitchfront::recovery
