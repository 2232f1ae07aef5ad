// Ids of former leaders' leases that this node must not use. After a data loss the store may
// reissue such an id, and the former leader could then renew the lease as its own. Keeps the newest
// kMaxRetiredLeases ids.
#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>

#include "settings/constants.hpp"

namespace hitchfront::core {

class RetiredLeases {
 public:
  void add(std::uint64_t lease) {
    if (contains(lease)) return;
    leases_.push_back(lease);
    if (leases_.size() > settings::kMaxRetiredLeases) leases_.pop_front();
  }
  bool contains(std::uint64_t lease) const {
    return std::find(leases_.begin(), leases_.end(), lease) != leases_.end();
  }

 private:
  std::deque<std::uint64_t> leases_;  // oldest first
};

}  // namespace hitchfront::core
