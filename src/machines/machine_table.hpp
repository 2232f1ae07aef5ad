// The machines that the leader knows, and the names of those that it has returned.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "machines/machine.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

class MachineTable {
 public:
  explicit MachineTable(const settings::Platform& platform) : platform_(platform) {}

  Machine* find(const std::string& name);
  bool contains(const std::string& name) const { return machines_.contains(name); }
  // In the order in which they were added.
  const std::vector<Machine*>& all() const { return fleet_; }
  std::size_t size() const { return fleet_.size(); }
  bool empty() const { return fleet_.empty(); }

  Machine& add(std::unique_ptr<Machine> machine);
  // Removes a machine that was returned. Its name is kept, so that stale lists and late heartbeats
  // do not add it again.
  void remove_returned(const std::string& name);
  bool was_returned(const std::string& name) const { return returned_.contains(name); }

  // Whether tasks may be assigned to the machine: its heartbeats are recent and carry this leader's
  // fencing token, commands reach it, and it is not about to be returned or terminated.
  bool usable(Ms now, const Machine& machine) const;
  // Whether the machine is probably gone or unreachable, so that it should be replaced.
  bool is_missing(Ms now, const Machine& machine) const;

 private:
  const settings::Platform& platform_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::vector<Machine*> fleet_;
  std::unordered_set<std::string> returned_;
  std::deque<std::string> returned_order_;  // oldest first
};

}  // namespace hitchfront::core
