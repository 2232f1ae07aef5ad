#include "recovery/state_replica.hpp"

#include <algorithm>

#include "wire/varint.hpp"

namespace hitchfront::recovery {
namespace {
enum class Entry : std::uint64_t { unfinished = 1, progress = 2, outcome = 3 };
}

void StateReplica::add_unfinished(const std::string& job, std::string record, bool cancelled,
                                  std::uint32_t launch_watermark) {
  if (outcomes_.contains(job)) return;
  auto& u = unfinished_[job];
  u.cancelled = u.cancelled || cancelled;
  if (cancelled && on_cancelled) on_cancelled(job);
  u.launch_watermark = std::max(u.launch_watermark, launch_watermark);
  // Which of two texts is kept matters for display only: the description never changes, and what
  // does is joined above.
  if (u.record.empty() || record > u.record) u.record = std::move(record);
}

void StateReplica::progress(const std::string& job, std::uint32_t chunk, std::string text) {
  if (outcomes_.contains(job)) return;
  unfinished_[job].progress[chunk] = {std::move(text)};
}

void StateReplica::add_outcome(const std::string& job, const wire::JobOutcome& record) {
  unfinished_.erase(job);
  if (on_outcome) on_outcome(job);
  const auto [it, first] = outcomes_.emplace(job, record);
  if (!first) {
    // Told done, it was done: that can't be told of a job that was cancelled before.
    if (it->second.cancelled && !record.cancelled) it->second = record;
    return;
  }
  order_.push_back(job);
  while (outcomes_.size() > outcomes_most_) {
    outcomes_.erase(order_.front());
    order_.pop_front();
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
  std::size_t n = outcomes_.size() * 160;  // two names, a record, nodes of a map and a queue
  for (const auto& [job, u] : unfinished_) {
    n += 160 + u.record.size();
    for (const auto& [chunk, texts] : u.progress)
      for (const auto& text : texts) n += 120 + text.size();
  }
  return n;
}

std::vector<std::string> StateReplica::encode(std::size_t part_most) const {
  std::vector<std::string> parts(1);
  const auto put = [&](const std::string& entry) {
    if (!parts.back().empty() && parts.back().size() + entry.size() > part_most)
      parts.emplace_back();
    parts.back() += entry;
  };
  for (const auto& [job, u] : unfinished_) {
    std::string e;
    if (!u.record.empty()) {
      wire::put_varint(e, static_cast<std::uint64_t>(Entry::unfinished));
      wire::put_text(e, job);
      wire::put_text(e, u.record);
      wire::put_varint(
          e, static_cast<std::uint64_t>(u.launch_watermark) << 1 | (u.cancelled ? 1U : 0U));
      put(e);
    }
    for (const auto& [chunk, texts] : u.progress)
      for (const auto& text : texts) {
        e.clear();
        wire::put_varint(e, static_cast<std::uint64_t>(Entry::progress));
        wire::put_text(e, job);
        wire::put_varint(e, chunk);
        wire::put_text(e, text);
        put(e);
      }
  }
  for (const auto& job : order_) {
    const auto& r = outcomes_.at(job);
    std::string e;
    wire::put_varint(e, static_cast<std::uint64_t>(Entry::outcome));
    wire::put_text(e, job);
    wire::put_varint(e, static_cast<std::uint64_t>(r.done) << 1 | (r.cancelled ? 1U : 0U));
    put(e);
  }
  return parts;
}

bool StateReplica::join(std::string_view part) {
  wire::VarintReader in(part);
  while (!in.at_end()) {
    const auto entry = static_cast<Entry>(in.integer());
    const std::string job(in.text());
    if (!in.ok()) return false;
    if (entry == Entry::unfinished) {
      std::string record(in.text());
      const auto state = in.integer();
      if (!in.ok()) return false;
      add_unfinished(job, std::move(record), (state & 1) != 0,
                     static_cast<std::uint32_t>(state >> 1));
    } else if (entry == Entry::progress) {
      const auto chunk = static_cast<std::uint32_t>(in.integer());
      std::string text(in.text());
      if (!in.ok()) return false;
      if (!outcomes_.contains(job)) unfinished_[job].progress[chunk].insert(std::move(text));
    } else if (entry == Entry::outcome) {
      const auto v = in.integer();
      if (!in.ok()) return false;
      add_outcome(job, {(v & 1) != 0, static_cast<std::uint32_t>(v >> 1)});
    } else {
      return false;
    }
  }
  return in.ok();
}

void StateReplica::join(const StateReplica& other) {
  for (const auto& job : other.order_) add_outcome(job, other.outcomes_.at(job));
  for (const auto& [job, u] : other.unfinished_) {
    if (!u.record.empty()) add_unfinished(job, u.record, u.cancelled, u.launch_watermark);
    if (outcomes_.contains(job)) continue;
    for (const auto& [chunk, texts] : u.progress)
      unfinished_[job].progress[chunk].insert(texts.begin(), texts.end());
  }
}

}  // namespace hitchfront::recovery
