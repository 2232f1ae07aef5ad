#include "dependencies/graph.hpp"

namespace hitchfront::dependencies {

void Graph::add(const std::string& job, const std::vector<std::string>& awaited) {
  if (awaited.empty()) return;
  auto& unfinished = dependencies_[job];
  for (const auto& name : awaited) {
    unfinished.insert(name);
    dependents_[name].insert(job);
  }
}

void Graph::remove(const std::string& job) {
  const auto awaited = dependencies_.extract(job);
  if (awaited.empty()) return;
  for (const auto& name : awaited.mapped()) {
    const auto dependents = dependents_.find(name);
    dependents->second.erase(job);
    if (dependents->second.empty()) dependents_.erase(dependents);
  }
}

Graph::Consequences Graph::settle(const std::string& job, Outcome outcome) {
  Consequences consequences;
  if (outcome == Outcome::cancelled) {
    cancel_dependents(job, consequences.cancelled);
    return consequences;
  }
  const auto dependents = dependents_.extract(job);
  if (dependents.empty()) return consequences;
  for (const auto& dependent : dependents.mapped()) {
    auto& unfinished = dependencies_.at(dependent);
    unfinished.erase(job);
    if (!unfinished.empty()) continue;
    dependencies_.erase(dependent);
    consequences.released.push_back(dependent);
  }
  return consequences;
}

void Graph::cancel_dependents(const std::string& job, std::vector<std::string>& cancelled) {
  std::vector<std::string> pending = {job};
  while (!pending.empty()) {
    const auto next = std::move(pending.back());
    pending.pop_back();
    const auto found = dependents_.find(next);
    if (found == dependents_.end()) continue;
    const auto dependents = found->second;
    for (const auto& dependent : dependents) {
      remove(dependent);
      cancelled.push_back(dependent);
      pending.push_back(dependent);
    }
  }
}

std::string Graph::first_awaited(const std::string& job) const {
  const auto it = dependencies_.find(job);
  return it == dependencies_.end() || it->second.empty() ? std::string() : *it->second.begin();
}

}  // namespace hitchfront::dependencies
