// Codec of a chunk of the allocation log in the store: machines, and the tasks that may be running
// on each. Varints in base64, so that the value is a JSON string. Machine names are
// prefix-compressed against the preceding machine, and task numbers are run-length encoded. A fleet
// of 1,300 machines with 4,000 tasks takes some 25 KB.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hitchfront::wire {

inline constexpr std::string_view kAllocationPrefix = "roster/";  // roster/<chunk>
[[nodiscard]] inline std::string allocation_key(std::uint32_t chunk) {
  return std::string(kAllocationPrefix) + std::to_string(chunk);
}

struct MachineAllocation {
  std::string name, type, zone;
  bool spot = false;
  bool up = false;                  // has sent a heartbeat
  std::int64_t billed_since_s = 0;  // Unix time
  struct Tasks {
    std::string job;
    std::vector<std::uint32_t> tasks;  // ascending
  };
  std::vector<Tasks> tasks;
};

// Encodes a chunk of the allocation log machine by machine. Machines sorted by name compress best.
class AllocationWriter {
 public:
  void machine(std::string_view name, std::string_view type, std::string_view zone, bool spot,
               bool up, std::int64_t billed_since_s);
  // Adds a job's tasks to the machine of the last machine() call. `tasks` is ascending and not
  // empty. `job_key` is any number by which the caller identifies the job within this chunk.
  void tasks(std::uint64_t job_key, std::string_view job, const std::vector<std::uint32_t>& tasks);
  std::string finish();  // the text of the JSON string, without quotes

 private:
  void flush_machine();  // appends the current machine to the output
  std::string out_, last_name_;
  std::string machine_, groups_;  // of the current machine: its header, and its tasks by job
  std::uint64_t group_count_ = 0;
  std::int64_t last_billed_since_s_ = 0;
  bool started_ = false;
  std::vector<std::string> offers_;  // distinct combinations of type, zone and spot
  std::unordered_map<std::uint64_t, std::uint64_t> job_numbers_;  // by job key; from 1
};

std::string encode_allocations(const std::vector<MachineAllocation>& machines);
// Returns nullopt if the value is malformed.
std::optional<std::vector<MachineAllocation>> decode_allocations(std::string_view text);

}  // namespace hitchfront::wire
