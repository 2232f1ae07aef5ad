// Tracks which controllers have sent their state replica to the leader that recovers the stored
// state. A replica arrives in numbered parts, in any order and possibly repeated. Does no I/O.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hitchfront::recovery {

class ReplicaGathering {
 public:
  void expect(const std::string& node) { replicas_[node]; }
  [[nodiscard]] bool expects(const std::string& node) const { return replicas_.contains(node); }
  // Records that part `index` (from 0) of `count` has arrived. Ignores nodes that are not expected.
  void record_part(const std::string& node, std::uint64_t index, std::uint64_t count);

  [[nodiscard]] std::size_t expected_count() const { return replicas_.size(); }
  // Number of nodes whose parts have all arrived.
  [[nodiscard]] std::size_t complete_count() const;
  // Expected nodes with missing parts.
  [[nodiscard]] std::set<std::string> incomplete() const;
  // All expected nodes.
  [[nodiscard]] std::set<std::string> expected() const;

 private:
  struct Replica {
    std::set<std::uint64_t> parts;  // indices
    std::uint64_t part_count = 0;   // 0: no part has arrived
    bool complete() const { return part_count != 0 && parts.size() == part_count; }
  };
  std::map<std::string, Replica> replicas_;  // by node
};

}  // namespace hitchfront::recovery
