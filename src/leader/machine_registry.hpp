// Machines that become known, and machines that were returned: the machine table, the allocation
// log and the attribution of failures kept in step.
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

  // Null: its type is not known here.
  Machine* add(Ms now, const std::string& name, const std::string& type, const std::string& zone,
               bool spot);
  // The cloud has confirmed that it is gone, with everything on it; its tasks are vacated before.
  void remove_returned(Ms now, const std::string& name);

 private:
  LeaderContext& context_;
  LeaderState& state_;
  AllocationRecorder& recorder_;
};

}  // namespace hitchfront::core
