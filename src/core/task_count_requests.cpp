#include "core/task_count_requests.hpp"

#include <utility>

namespace hitchfront::core {
namespace {

// Users wait 2 s for a poll, and the counts are for display only.
constexpr Ms kCountRequestTimeoutMs = 300;

}  // namespace

void TaskCountRequests::add(Ms now, const std::string& job, OnTaskCounts on_counts) {
  unsent_.deadline = now + kCountRequestTimeoutMs;
  unsent_.jobs.push_back(job);
  unsent_.callbacks.push_back(std::move(on_counts));
}

void TaskCountRequests::send(const std::string& leader) {
  if (unsent_.jobs.empty()) return;
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::job_counts_request;
  message.id = request_ids_.next();
  message.text = wire::encode_jobs(unsent_.jobs);
  outbox_.send_to_peer(leader, wire::encode(message));
  pending_[message.id] = std::exchange(unsent_, {});
}

void TaskCountRequests::on_response(Ms now, const wire::PeerMessage& message) {
  const auto it = pending_.find(message.id);
  if (it == pending_.end()) return;
  const auto request = std::move(it->second);
  pending_.erase(it);
  const auto counts = wire::decode_counts(message.text);
  for (std::size_t i = 0; i < request.callbacks.size(); ++i) {
    const bool known = counts && i < counts->size() && (*counts)[i].known;
    request.callbacks[i](
        now,
        known ? std::optional(TaskCounts{(*counts)[i].done, (*counts)[i].running}) : std::nullopt);
  }
}

void TaskCountRequests::tick(Ms now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    const auto expired = std::move(it->second);
    it = pending_.erase(it);
    for (const auto& callback : expired.callbacks) callback(now, std::nullopt);
  }
}

}  // namespace hitchfront::core
