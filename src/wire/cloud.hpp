// Codecs of the cloud provider's API: listing machine types, renting, releasing and listing
// machines. The parsers return nullopt if the body is malformed.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::wire {

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 1;
  double price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};
std::optional<std::vector<MachineType>> parse_machine_types(const nlohmann::json& body);
std::string encode(const std::vector<MachineType>& types);

std::string scale_out_request(std::string_view name, std::string_view type, std::string_view zone,
                              bool spot, std::uint32_t count);
// Returns the names of the rented machines.
std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body);
std::string release_request(const std::vector<std::string>& machines);

struct ListedMachine {
  std::string name, addr, type, zone;
  bool spot = false;
  enum class Status { booting, running, failed } status = Status::booting;
  double age_s = 0;
};
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  // further machines follow
};
// The page of at most `limit` machines that follows machine `after`; empty: the first page.
std::string list_machines_path(std::string_view after, std::uint32_t limit);
std::optional<MachinePage> parse_machines(std::string_view body);

}  // namespace hitchfront::wire
