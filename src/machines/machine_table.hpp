// The machines that the leader knows, and those that it has returned.
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
  // In the order in which they became known.
  const std::vector<Machine*>& all() const { return fleet_; }
  std::size_t size() const { return fleet_.size(); }
  bool empty() const { return fleet_.empty(); }

  Machine& add(std::unique_ptr<Machine> machine);
  // The machine was returned: stale lists and late heartbeats must not revive it.
  void remove_returned(const std::string& name);
  bool was_returned(const std::string& name) const { return returned_.contains(name); }

  // It may get work: heard lately, under this leader, and nothing speaks against it.
  bool usable(Ms now, const Machine& machine) const;
  // Silent for so long that it is most likely gone, or unreachable.
  bool is_missing(Ms now, const Machine& machine) const;

 private:
  const settings::Platform& platform_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::vector<Machine*> fleet_;
  std::unordered_set<std::string> returned_;
  std::deque<std::string> returned_order_;  // the oldest first
};

}  // namespace hitchfront::core
