// Numbers of leases that somebody may renew for his own: after a loss the state service may give
// them out once more. The last few are remembered.
#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>

#include "settings/constants.hpp"

namespace hitchfront::core {

class RetiredLeases {
 public:
  void retire(std::uint64_t lease) {
    if (contains(lease)) return;
    leases_.push_back(lease);
    if (leases_.size() > settings::kMaxRetiredLeases) leases_.pop_front();
  }
  bool contains(std::uint64_t lease) const {
    return std::find(leases_.begin(), leases_.end(), lease) != leases_.end();
  }

 private:
  std::deque<std::uint64_t> leases_;  // the oldest first
};

}  // namespace hitchfront::core
