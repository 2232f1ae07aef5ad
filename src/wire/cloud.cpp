#include "wire/cloud.hpp"

namespace hitchfront::wire {
using nlohmann::json;

std::optional<std::vector<MachineType>> parse_types(const json& body) {
  try {
    std::vector<MachineType> out;
    for (const auto& t : body.at("Rigs")) {
      MachineType m;
      m.name = t.at("Name").get<std::string>();
      m.cpus = t.at("Cpus").get<double>();
      m.gpus = t.value("Cards", 0.0);
      m.memory_gb = t.at("RamGb").get<double>();
      m.cache_gb = t.value("LocalGb", 0.0);
      m.fetch_gb_per_s = t.value("PullGbPerS", 1.0);
      m.price = t.at("Price").get<double>();
      m.spot_price = t.value("LowPrice", m.price);
      m.boot_s = t.value("StartupS", 0.0);
      m.zones = t.at("Halls").get<std::vector<std::string>>();
      out.push_back(std::move(m));
    }
    return out;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string encode(const std::vector<MachineType>& types) {
  json list = json::array();
  for (const auto& m : types)
    list.push_back({{"Name", m.name},
                    {"Cpus", m.cpus},
                    {"Cards", m.gpus},
                    {"RamGb", m.memory_gb},
                    {"LocalGb", m.cache_gb},
                    {"PullGbPerS", m.fetch_gb_per_s},
                    {"Price", m.price},
                    {"LowPrice", m.spot_price},
                    {"StartupS", m.boot_s},
                    {"Halls", m.zones}});
  return json{{"Rigs", std::move(list)}}.dump();
}

std::string scale_out_request(std::string_view name, std::string_view type, std::string_view zone,
                              bool spot, std::uint32_t count) {
  return json{{"Hire", name}, {"Rig", type}, {"Hall", zone}, {"Loaners", spot}, {"Number", count}}
      .dump();
}

std::optional<std::vector<std::string>> parse_rented(std::string_view body) {
  try {
    return json::parse(body).at("Posts").get<std::vector<std::string>>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string release_request(const std::vector<std::string>& machines) {
  return json{{"Posts", machines}}.dump();
}

std::string list_path(std::string_view after, std::uint32_t limit) {
  return "/machines?After=" + std::string(after) + "&Page=" + std::to_string(limit);
}

std::optional<MachinePage> parse_machines(std::string_view body) {
  try {
    const json o = json::parse(body);
    MachinePage page;
    for (const auto& m : o.at("Posts")) {
      ListedMachine l;
      l.name = m.at("Ref").get<std::string>();
      l.addr = m.value("Addr", "");
      l.type = m.at("Rig").get<std::string>();
      l.zone = m.at("Hall").get<std::string>();
      l.spot = m.value("Loaners", false);
      const auto s = m.at("Status").get<std::string>();
      l.status = s == "failed"    ? ListedMachine::Status::failed
                 : s == "running" ? ListedMachine::Status::running
                                  : ListedMachine::Status::booting;
      l.age_s = m.value("AgeS", 0.0);
      page.machines.push_back(std::move(l));
    }
    page.more = o.value("Truncated", false);
    return page;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace hitchfront::wire
