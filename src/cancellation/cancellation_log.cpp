#include "cancellation/cancellation_log.hpp"

#include <algorithm>

namespace hitchfront::cancellation {

bool CancellationLog::add(const std::string& job) {
  if (!sequence_numbers_.emplace(job, newest_ + 1).second) return false;
  jobs_.emplace(++newest_, job);
  if (on_added) on_added(job);
  return true;
}

void CancellationLog::remove(const std::string& job) {
  const auto it = sequence_numbers_.find(job);
  if (it == sequence_numbers_.end()) return;
  jobs_.erase(it->second);
  sequence_numbers_.erase(it);
}

CancellationBatch CancellationLog::batch_after(std::uint64_t from, std::size_t max_bytes) const {
  CancellationBatch batch;
  batch.from = from;
  batch.newest = batch.to = newest_;
  std::size_t bytes = 0;
  for (auto it = jobs_.upper_bound(from); it != jobs_.end(); ++it) {
    bytes += it->second.size() + 2;
    if (bytes > max_bytes && !batch.jobs.empty()) {
      batch.to = it->first - 1;
      break;
    }
    batch.jobs.push_back(it->second);
  }
  return batch;
}

void CancellationLog::acknowledge(std::uint64_t term, std::uint64_t sequence_number) {
  if (term < term_) return;
  // A new leader may not have received what an earlier one has.
  if (term > term_) acknowledged_ = 0;
  term_ = term;
  acknowledged_ = std::max(acknowledged_, std::min(sequence_number, newest_));
}

bool CancellationLog::is_acknowledged(const std::string& job) const {
  const auto it = sequence_numbers_.find(job);
  return it != sequence_numbers_.end() && it->second <= acknowledged_;
}

ReplicationTracker::ReplicationTracker(const std::vector<std::string>& peers) {
  for (const auto& node : peers) peers_[node];
}

void ReplicationTracker::begin() {
  for (auto& [node, peer] : peers_) peer = {};
}

ReplicationPosition ReplicationTracker::position(const std::string& node) const {
  const auto it = peers_.find(node);
  return it == peers_.end() ? ReplicationPosition{} : it->second.position;
}

void ReplicationTracker::record_batch(Ms now, Ms requested_at, Ms valid_until,
                                      const std::string& node, const CancellationBatch& batch) {
  const auto it = peers_.find(node);
  if (it == peers_.end()) return;
  auto& peer = it->second;
  if (peer.known_as_of && requested_at < *peer.known_as_of)
    return;  // older than a batch already recorded
  if (batch.process != peer.position.process) {
    // A restarted peer. What its previous process acknowledged is known if the new one has read all
    // unfinished jobs, or if the abstention that came with the previous process's complete log is
    // still valid: nothing else was acknowledged since.
    peer.earlier_processes_covered = now < peer.abstention_valid_until;
    peer.position = {batch.process, 0};
  }
  peer.earlier_processes_covered = peer.earlier_processes_covered || batch.read_all;
  if (batch.from > peer.position.sequence_number)
    return;  // an earlier batch is missing and will be requested again
  peer.position.sequence_number = std::max(peer.position.sequence_number, batch.to);
  if (!peer.earlier_processes_covered || peer.position.sequence_number < batch.newest) return;
  peer.known_as_of = requested_at;
  peer.abstention_valid_until = std::max(peer.abstention_valid_until, valid_until);
}

std::string ReplicationTracker::lagging_peers(Ms as_of) const {
  std::string names;
  for (const auto& [node, peer] : peers_)
    if (!peer.known_as_of || *peer.known_as_of < as_of) names += (names.empty() ? "" : ",") + node;
  return names;
}

Ms ReplicationTracker::known_as_of() const {
  if (peers_.empty()) return INT64_MIN;
  Ms as_of = INT64_MAX;
  for (const auto& [node, peer] : peers_) {
    if (!peer.known_as_of) return INT64_MIN;
    as_of = std::min(as_of, *peer.known_as_of);
  }
  return as_of;
}

}  // namespace hitchfront::cancellation
