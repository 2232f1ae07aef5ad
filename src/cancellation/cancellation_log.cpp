#include "cancellation/cancellation_log.hpp"

#include <algorithm>

namespace hitchfront::cancellation {

bool CancellationLog::add(const std::string& job) {
  if (!numbers_.emplace(job, newest_ + 1).second) return false;
  jobs_.emplace(++newest_, job);
  if (on_added) on_added(job);
  return true;
}

void CancellationLog::remove(const std::string& job) {
  const auto it = numbers_.find(job);
  if (it == numbers_.end()) return;
  jobs_.erase(it->second);
  numbers_.erase(it);
}

CancellationBatch CancellationLog::after(std::uint64_t from, std::size_t most) const {
  CancellationBatch batch;
  batch.from = from;
  batch.newest = batch.to = newest_;
  std::size_t bytes = 0;
  for (auto it = jobs_.upper_bound(from); it != jobs_.end(); ++it) {
    bytes += it->second.size() + 2;
    if (bytes > most && !batch.jobs.empty()) {
      batch.to = it->first - 1;
      break;
    }
    batch.jobs.push_back(it->second);
  }
  return batch;
}

void CancellationLog::acknowledge(std::uint64_t term, std::uint64_t number) {
  if (term < term_) return;
  // Another leader's: that an earlier one knew says nothing of this one.
  if (term > term_) acknowledged_ = 0;
  term_ = term;
  acknowledged_ = std::max(acknowledged_, std::min(number, newest_));
}

bool CancellationLog::is_acknowledged(const std::string& job) const {
  const auto it = numbers_.find(job);
  return it != numbers_.end() && it->second <= acknowledged_;
}

ReplicationTracker::ReplicationTracker(const std::vector<std::string>& others) {
  for (const auto& node : others) others_[node];
}

void ReplicationTracker::begin() {
  for (auto& [node, other] : others_) other = {};
}

ReplicationPosition ReplicationTracker::position(const std::string& node) const {
  const auto it = others_.find(node);
  return it == others_.end() ? ReplicationPosition{} : it->second.position;
}

void ReplicationTracker::record_batch(Ms now, Ms asked, Ms until, const std::string& node,
                                      const CancellationBatch& batch) {
  const auto it = others_.find(node);
  if (it == others_.end()) return;
  auto& other = it->second;
  if (other.since && asked < *other.since) return;  // late: what came after it knows more
  if (batch.process != other.position.process) {
    // Whatever an earlier process acknowledged is known if this one has read it all; or if nothing
    // was acknowledged since that one's last whole list: it abstained, and that still stands.
    other.covered = now < other.abstention_bound_until;
    other.position = {batch.process, 0};
  }
  other.covered = other.covered || batch.read_all;
  if (batch.from > other.position.number)
    return;  // a part before it is missing, and is asked for again
  other.position.number = std::max(other.position.number, batch.to);
  if (!other.covered || other.position.number < batch.newest) return;
  other.since = asked;
  other.abstention_bound_until = std::max(other.abstention_bound_until, until);
}

std::string ReplicationTracker::missing(Ms since) const {
  std::string out;
  for (const auto& [node, other] : others_)
    if (!other.since || *other.since < since) out += (out.empty() ? "" : ",") + node;
  return out;
}

Ms ReplicationTracker::known_since() const {
  if (others_.empty()) return INT64_MIN;
  Ms since = INT64_MAX;
  for (const auto& [node, other] : others_) {
    if (!other.since) return INT64_MIN;
    since = std::min(since, *other.since);
  }
  return since;
}

}  // namespace hitchfront::cancellation
