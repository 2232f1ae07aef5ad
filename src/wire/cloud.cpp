#include "wire/cloud.hpp"

namespace hitchfront::wire {
using nlohmann::json;

std::optional<std::vector<MachineType>> parse_machine_types(const json& body) {
  try {
    std::vector<MachineType> types;
    for (const auto& entry : body.at("Rigs")) {
      MachineType type;
      type.name = entry.at("Name").get<std::string>();
      type.cpus = entry.at("Cpus").get<double>();
      type.gpus = entry.value("Cards", 0.0);
      type.memory_gb = entry.at("RamGb").get<double>();
      type.cache_gb = entry.value("LocalGb", 0.0);
      type.fetch_gb_per_s = entry.value("PullGbPerS", 1.0);
      type.price = entry.at("Price").get<double>();
      type.spot_price = entry.value("LowPrice", type.price);
      type.boot_s = entry.value("StartupS", 0.0);
      type.zones = entry.at("Halls").get<std::vector<std::string>>();
      types.push_back(std::move(type));
    }
    return types;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string encode(const std::vector<MachineType>& types) {
  json list = json::array();
  for (const auto& type : types)
    list.push_back({{"Name", type.name},
                    {"Cpus", type.cpus},
                    {"Cards", type.gpus},
                    {"RamGb", type.memory_gb},
                    {"LocalGb", type.cache_gb},
                    {"PullGbPerS", type.fetch_gb_per_s},
                    {"Price", type.price},
                    {"LowPrice", type.spot_price},
                    {"StartupS", type.boot_s},
                    {"Halls", type.zones}});
  return json{{"Rigs", std::move(list)}}.dump();
}

std::string scale_out_request(std::string_view name, std::string_view type, std::string_view zone,
                              bool spot, std::uint32_t count) {
  return json{{"Hire", name}, {"Rig", type}, {"Hall", zone}, {"Loaners", spot}, {"Number", count}}
      .dump();
}

std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body) {
  try {
    return json::parse(body).at("Posts").get<std::vector<std::string>>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string release_request(const std::vector<std::string>& machines) {
  return json{{"Posts", machines}}.dump();
}

std::string list_machines_path(std::string_view after, std::uint32_t limit) {
  return "/machines?After=" + std::string(after) + "&Page=" + std::to_string(limit);
}

std::optional<MachinePage> parse_machines(std::string_view body) {
  try {
    const json object = json::parse(body);
    MachinePage page;
    for (const auto& entry : object.at("Posts")) {
      ListedMachine machine;
      machine.name = entry.at("Ref").get<std::string>();
      machine.addr = entry.value("Addr", "");
      machine.type = entry.at("Rig").get<std::string>();
      machine.zone = entry.at("Hall").get<std::string>();
      machine.spot = entry.value("Loaners", false);
      const auto status = entry.at("Status").get<std::string>();
      machine.status = status == "failed"    ? ListedMachine::Status::failed
                       : status == "running" ? ListedMachine::Status::running
                                             : ListedMachine::Status::booting;
      machine.age_s = entry.value("AgeS", 0.0);
      page.machines.push_back(std::move(machine));
    }
    page.more = object.value("Truncated", false);
    return page;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace hitchfront::wire
