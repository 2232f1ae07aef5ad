#include "vouching/vouching.hpp"

#include <algorithm>

namespace hitchfront::vouching {

bool Cancelled::add(const std::string& job) {
  if (!numbers_.emplace(job, newest_ + 1).second) return false;
  jobs_.emplace(++newest_, job);
  if (on_added) on_added(job);
  return true;
}

void Cancelled::over(const std::string& job) {
  const auto it = numbers_.find(job);
  if (it == numbers_.end()) return;
  jobs_.erase(it->second);
  numbers_.erase(it);
}

Vouch Cancelled::after(std::uint64_t from, std::size_t most) const {
  Vouch v;
  v.from = from;
  v.newest = v.to = newest_;
  std::size_t bytes = 0;
  for (auto it = jobs_.upper_bound(from); it != jobs_.end(); ++it) {
    bytes += it->second.size() + 2;
    if (bytes > most && !v.jobs.empty()) {
      v.to = it->first - 1;
      break;
    }
    v.jobs.push_back(it->second);
  }
  return v;
}

void Cancelled::taken(std::uint64_t term, std::uint64_t number) {
  if (term < term_) return;
  // Another leader's: that an earlier one knew says nothing of this one.
  if (term > term_) taken_ = 0;
  term_ = term;
  taken_ = std::max(taken_, std::min(number, newest_));
}

bool Cancelled::is_taken(const std::string& job) const {
  const auto it = numbers_.find(job);
  return it != numbers_.end() && it->second <= taken_;
}

Vouchers::Vouchers(const std::vector<std::string>& others) {
  for (const auto& node : others) others_[node];
}

void Vouchers::begin() {
  for (auto& [node, o] : others_) o = {};
}

Taken Vouchers::taken(const std::string& node) const {
  const auto it = others_.find(node);
  return it == others_.end() ? Taken{} : it->second.taken;
}

void Vouchers::took(Ms now, Ms asked, Ms until, const std::string& node, const Vouch& v) {
  const auto it = others_.find(node);
  if (it == others_.end()) return;
  auto& o = it->second;
  if (o.since && asked < *o.since) return;  // late: what came after it knows more
  if (v.process != o.taken.process) {
    // Whatever an earlier process told is known if this one has read it all; or if nothing was told
    // since that one's last whole list: it had promised, and that still stands.
    o.covered = now < o.bound_until;
    o.taken = {v.process, 0};
  }
  o.covered = o.covered || v.read_all;
  if (v.from > o.taken.number) return;  // a part before it is missing, and is asked for again
  o.taken.number = std::max(o.taken.number, v.to);
  if (!o.covered || o.taken.number < v.newest) return;
  o.since = asked;
  o.bound_until = std::max(o.bound_until, until);
}

std::string Vouchers::missing(Ms since) const {
  std::string out;
  for (const auto& [node, o] : others_)
    if (!o.since || *o.since < since) out += (out.empty() ? "" : ",") + node;
  return out;
}

Ms Vouchers::known_since() const {
  if (others_.empty()) return INT64_MIN;
  Ms since = INT64_MAX;
  for (const auto& [node, o] : others_) {
    if (!o.since) return INT64_MIN;
    since = std::min(since, *o.since);
  }
  return since;
}

}  // namespace hitchfront::vouching
