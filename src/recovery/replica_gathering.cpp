#include "recovery/replica_gathering.hpp"

#include <algorithm>

namespace hitchfront::recovery {

void ReplicaGathering::record_part(const std::string& node, std::uint64_t index,
                                   std::uint64_t count) {
  const auto it = replicas_.find(node);
  if (it == replicas_.end()) return;
  it->second.part_count = count;
  it->second.parts.insert(index);
}

std::size_t ReplicaGathering::complete_count() const {
  return static_cast<std::size_t>(
      std::count_if(replicas_.begin(), replicas_.end(),
                    [](const auto& entry) { return entry.second.complete(); }));
}

std::set<std::string> ReplicaGathering::incomplete() const {
  std::set<std::string> nodes;
  for (const auto& [node, replica] : replicas_)
    if (!replica.complete()) nodes.insert(node);
  return nodes;
}

std::set<std::string> ReplicaGathering::expected() const {
  std::set<std::string> nodes;
  for (const auto& [node, replica] : replicas_) nodes.insert(node);
  return nodes;
}

}  // namespace hitchfront::recovery
