// Adds machines to, and removes them from, the machine table, the allocation log and the failure
// attribution, so that these stay consistent.
#pragma once
#include <string>

#include "leader/allocation_recorder.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"

namespace hitchfront::core {

class MachineRegistry {
 public:
  MachineRegistry(LeaderContext& context, LeaderState& state, AllocationRecorder& recorder)
      : context_(context), state_(state), recorder_(recorder) {}

  // The name must not be in the machine table yet. Returns null if the catalog does not have the
  // machine type.
  Machine* add(Ms now, const std::string& name, const std::string& type_name,
               const std::string& zone, bool spot);
  // The cloud has confirmed that the machine no longer exists. The caller has removed its
  // placements before.
  void remove_returned(Ms now, const std::string& name);

 private:
  LeaderContext& context_;
  LeaderState& state_;
  AllocationRecorder& recorder_;
};

}  // namespace hitchfront::core
