// A part of the allocation log as the store keeps it: machines, and the tasks that each may have on
// it. Varint coded, names sorted and written as what differs from the one before, tasks as runs;
// base64, so that it is a JSON string. A fleet of 1,300 machines with 4,000 tasks takes some 25 KB.
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
  bool up = false;          // it has reported
  std::int64_t born_s = 0;  // wall clock, seconds since 1970
  struct Tasks {
    std::string job;
    std::vector<std::uint32_t> tasks;  // ascending
  };
  std::vector<Tasks> tasks;
};

// Writes machines in the order of their names; a job is known by a key of the caller's while it
// writes.
class AllocationWriter {
 public:
  void machine(std::string_view name, std::string_view type, std::string_view zone, bool spot,
               bool up, std::int64_t born_s);
  // Of the machine named last. `tasks` ascending and not empty.
  void tasks(std::uint64_t job_key, std::string_view job, const std::vector<std::uint32_t>& tasks);
  std::string finish();  // the value, without quotes

 private:
  void close();
  std::string out_, last_name_, open_, groups_;
  std::uint64_t groups_n_ = 0;
  std::int64_t last_born_ = 0;
  bool any_ = false;
  std::vector<std::string> offers_;
  std::unordered_map<std::uint64_t, std::uint64_t> jobs_;
};

std::string encode_allocations(const std::vector<MachineAllocation>& machines);
std::optional<std::vector<MachineAllocation>> decode_allocations(std::string_view text);

}  // namespace hitchfront::wire
