#include "rebuild/copy.hpp"

#include <algorithm>

#include "wire/varint.hpp"

namespace hitchfront::rebuild {
namespace {
enum class Entry : std::uint64_t { live = 1, progress = 2, over = 3 };
}

void Copy::live(const std::string& job, std::string record, bool withdrawn, std::uint32_t mark) {
  if (finals_.contains(job)) return;
  auto& u = unfinished_[job];
  u.withdrawn = u.withdrawn || withdrawn;
  if (withdrawn && on_withdrawn) on_withdrawn(job);
  u.mark = std::max(u.mark, mark);
  // Which of two texts is kept matters for display only: the description never changes, and what
  // does is joined above.
  if (u.record.empty() || record > u.record) u.record = std::move(record);
}

void Copy::progress(const std::string& job, std::uint32_t chunk, std::string text) {
  if (finals_.contains(job)) return;
  unfinished_[job].progress[chunk] = {std::move(text)};
}

void Copy::over(const std::string& job, const wire::OverRecord& record) {
  unfinished_.erase(job);
  if (on_over) on_over(job);
  const auto [it, first] = finals_.emplace(job, record);
  if (!first) {
    // Told done, it was done: that can't be told of a job that was cancelled before.
    if (it->second.withdrawn && !record.withdrawn) it->second = record;
    return;
  }
  order_.push_back(job);
  while (finals_.size() > finals_most_) {
    finals_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<wire::OverRecord> Copy::final_of(const std::string& job) const {
  const auto it = finals_.find(job);
  return it == finals_.end() ? std::nullopt : std::optional(it->second);
}

bool Copy::is_withdrawn(const std::string& job) const {
  const auto it = unfinished_.find(job);
  return it != unfinished_.end() && it->second.withdrawn;
}

std::size_t Copy::bytes() const {
  std::size_t n = finals_.size() * 160;  // two names, a record, nodes of a map and a queue
  for (const auto& [job, u] : unfinished_) {
    n += 160 + u.record.size();
    for (const auto& [chunk, texts] : u.progress)
      for (const auto& text : texts) n += 120 + text.size();
  }
  return n;
}

std::vector<std::string> Copy::encode(std::size_t part_most) const {
  std::vector<std::string> parts(1);
  const auto put = [&](const std::string& entry) {
    if (!parts.back().empty() && parts.back().size() + entry.size() > part_most)
      parts.emplace_back();
    parts.back() += entry;
  };
  for (const auto& [job, u] : unfinished_) {
    std::string e;
    if (!u.record.empty()) {
      wire::put_varint(e, static_cast<std::uint64_t>(Entry::live));
      wire::put_text(e, job);
      wire::put_text(e, u.record);
      wire::put_varint(e, static_cast<std::uint64_t>(u.mark) << 1 | (u.withdrawn ? 1U : 0U));
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
    const auto& r = finals_.at(job);
    std::string e;
    wire::put_varint(e, static_cast<std::uint64_t>(Entry::over));
    wire::put_text(e, job);
    wire::put_varint(e, static_cast<std::uint64_t>(r.done) << 1 | (r.withdrawn ? 1U : 0U));
    put(e);
  }
  return parts;
}

bool Copy::join(std::string_view part) {
  wire::VarintReader in(part);
  while (!in.at_end()) {
    const auto entry = static_cast<Entry>(in.integer());
    const std::string job(in.text());
    if (!in.ok()) return false;
    if (entry == Entry::live) {
      std::string record(in.text());
      const auto state = in.integer();
      if (!in.ok()) return false;
      live(job, std::move(record), (state & 1) != 0, static_cast<std::uint32_t>(state >> 1));
    } else if (entry == Entry::progress) {
      const auto chunk = static_cast<std::uint32_t>(in.integer());
      std::string text(in.text());
      if (!in.ok()) return false;
      if (!finals_.contains(job)) unfinished_[job].progress[chunk].insert(std::move(text));
    } else if (entry == Entry::over) {
      const auto v = in.integer();
      if (!in.ok()) return false;
      over(job, {(v & 1) != 0, static_cast<std::uint32_t>(v >> 1)});
    } else {
      return false;
    }
  }
  return in.ok();
}

void Copy::join(const Copy& other) {
  for (const auto& job : other.order_) over(job, other.finals_.at(job));
  for (const auto& [job, u] : other.unfinished_) {
    if (!u.record.empty()) live(job, u.record, u.withdrawn, u.mark);
    if (finals_.contains(job)) continue;
    for (const auto& [chunk, texts] : u.progress)
      unfinished_[job].progress[chunk].insert(texts.begin(), texts.end());
  }
}

}  // namespace hitchfront::rebuild
