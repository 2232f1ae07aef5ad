#include "dependencies/graph.hpp"

namespace hitchfront::dependencies {

void Graph::add(const std::string& job, const std::vector<std::string>& awaits) {
  if (awaits.empty()) return;
  auto& open = awaited_by_[job];
  for (const auto& name : awaits) {
    open.insert(name);
    waiting_for_[name].insert(job);
  }
}

void Graph::remove(const std::string& job) {
  const auto waiting = awaited_by_.extract(job);
  if (waiting.empty()) return;
  for (const auto& name : waiting.mapped()) {
    const auto dependents = waiting_for_.find(name);
    dependents->second.erase(job);
    if (dependents->second.empty()) waiting_for_.erase(dependents);
  }
}

Graph::Consequences Graph::settle(const std::string& job, Outcome outcome) {
  Consequences consequences;
  if (outcome == Outcome::cancelled) {
    cancel_dependents(job, consequences.cancelled);
    return consequences;
  }
  const auto dependents = waiting_for_.extract(job);
  if (dependents.empty()) return consequences;
  for (const auto& dependent : dependents.mapped()) {
    auto& open = awaited_by_.at(dependent);
    open.erase(job);
    if (!open.empty()) continue;
    awaited_by_.erase(dependent);
    consequences.released.push_back(dependent);
  }
  return consequences;
}

void Graph::cancel_dependents(const std::string& job, std::vector<std::string>& cancelled) {
  std::vector<std::string> open = {job};
  while (!open.empty()) {
    const auto next = std::move(open.back());
    open.pop_back();
    const auto found = waiting_for_.find(next);
    if (found == waiting_for_.end()) continue;
    const auto dependents = found->second;
    for (const auto& dependent : dependents) {
      remove(dependent);
      cancelled.push_back(dependent);
      open.push_back(dependent);
    }
  }
}

std::string Graph::first_awaited(const std::string& job) const {
  const auto it = awaited_by_.find(job);
  return it == awaited_by_.end() || it->second.empty() ? std::string() : *it->second.begin();
}

}  // namespace hitchfront::dependencies
