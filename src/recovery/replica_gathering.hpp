// Which controllers have sent their state replica to the one that recovers the stored state. A
// replica comes in numbered parts, in any order and perhaps more than once. Pure.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hitchfront::recovery {

class ReplicaGathering {
 public:
  // Expects a replica of `node`.
  void expect(const std::string& node) { replicas_[node]; }
  [[nodiscard]] bool expects(const std::string& node) const { return replicas_.contains(node); }
  // Part `index` of `count`, counted from 0, of an expected node.
  void record_part(const std::string& node, std::uint64_t index, std::uint64_t count);

  [[nodiscard]] std::size_t expected_count() const { return replicas_.size(); }
  // Nodes of which all parts have come.
  [[nodiscard]] std::size_t complete_count() const;
  // Nodes of which a part is missing, in the order of their names.
  [[nodiscard]] std::set<std::string> incomplete() const;
  // Expected nodes in the order of their names.
  [[nodiscard]] std::set<std::string> expected() const;

 private:
  struct Replica {
    std::set<std::uint64_t> parts;
    std::uint64_t part_count = 0;  // 0: no part has come
    bool complete() const { return part_count != 0 && parts.size() == part_count; }
  };
  std::map<std::string, Replica> replicas_;  // by node
};

}  // namespace hitchfront::recovery
