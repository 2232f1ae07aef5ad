#include "simulators/cloud.hpp"

#include <algorithm>

namespace hitchfront::simulators {
using nlohmann::json;
namespace {
constexpr std::int64_t kSnapshotMs = 200;  // between two states of the fleet that a list may show
constexpr std::size_t kPageMost = 500;     // PROTOCOL
}  // namespace

std::string Cloud::scale_out(std::int64_t now, const std::string& type, const std::string& zone,
                             bool spot) {
  auto& left = capacity[type + "/" + zone + (spot ? "/spot" : "/ordinary")];
  if (left <= 0) return {};
  --left;
  std::string digits = std::to_string(next_++);
  const std::string name = "n-" + std::string(6 - digits.size(), '0') + digits;
  double boot = 1;
  for (const auto& t : types_)
    if (t.name == type) boot = t.boot_s;
  Machine m;
  m.listed = {name, addr_of(name), type, zone, spot, wire::ListedMachine::Status::booting, 0};
  m.rented = now;
  m.up_at =
      now + static_cast<std::int64_t>(
                boot * 1000 * std::uniform_real_distribution<>(0.6, 1.5)(random_) * boot_factor);
  if (std::uniform_real_distribution<>(0, 1)(random_) < never_up) m.up_at = INT64_MAX;
  machines_[name] = m;
  return name;
}

void Cloud::take(std::int64_t, const std::string& name) {
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  const auto& l = it->second.listed;
  ++capacity[l.type + "/" + l.zone + (l.spot ? "/spot" : "/ordinary")];
  machines_.erase(it);
  if (on_gone) on_gone(name);
}

void Cloud::tick(std::int64_t now) {
  std::vector<std::string> up;
  std::vector<wire::ListedMachine> list;
  for (auto& [name, m] : machines_) {
    if (m.listed.status == wire::ListedMachine::Status::booting && now >= m.up_at) {
      m.listed.status = wire::ListedMachine::Status::running;
      up.push_back(name);
    }
    m.listed.age_s = static_cast<double>(now - m.rented) / 1000;
    list.push_back(m.listed);
  }
  if (past_.empty() || now - past_.rbegin()->first >= kSnapshotMs) past_[now] = std::move(list);
  while (past_.size() > 1 && std::next(past_.begin())->first < now - 2 * list_lag_ms_)
    past_.erase(past_.begin());
  for (const auto& name : up)
    if (auto it = machines_.find(name); it != machines_.end() && on_up) on_up(it->second);
}

Response Cloud::handle(std::int64_t now, const std::string& method, const std::string& path,
                       const std::string& body) {
  if (outage) return {503, R"({"error":"trouble"})"};
  if (path == "/flavors") return {200, wire::encode(types_)};
  if (path == "/machines" && method == "POST") {
    const json o = json::parse(body, nullptr, false);
    if (!o.is_object()) return {400, R"({"error":"malformed"})"};
    const auto request = o.at("Hire").get<std::string>();
    if (auto it = rented_.find(request); it != rented_.end()) return {200, it->second};
    json names = json::array();
    for (int i = 0; i < o.at("Number").get<int>(); ++i) {
      auto name = scale_out(now, o.at("Rig").get<std::string>(), o.at("Hall").get<std::string>(),
                            o.at("Loaners").get<bool>());
      if (name.empty()) break;
      names.push_back(name);
    }
    if (names.empty()) return {503, R"({"error":"no capacity"})"};
    return {200, rented_[request] = json{{"Posts", names}}.dump()};
  }
  if (path == "/machines/release") {
    const json o = json::parse(body, nullptr, false);
    if (!o.is_object()) return {400, R"({"error":"malformed"})"};
    for (const auto& n : o.at("Posts")) take(now, n.get<std::string>());
    return {200, "{}"};
  }
  if (path.starts_with("/machines") && method == "GET") {
    // The list is as old as the lag, give or take, and may go backwards.
    const auto age =
        std::uniform_int_distribution<std::int64_t>(list_lag_ms_ / 2, 2 * list_lag_ms_)(random_);
    json list = json::array();
    const auto asked = query(path, "Page");
    const std::size_t page =
        asked.empty() ? kPageMost : std::min<std::size_t>(kPageMost, std::stoull(asked));
    bool truncated = false;
    const auto after = query(path, "After");
    auto it = past_.upper_bound(now - age);
    if (it != past_.begin()) {
      for (const auto& l : std::prev(it)->second) {
        if (l.name <= after) continue;
        if (list.size() >= page) {
          truncated = true;
          break;
        }
        const char* status = l.status == wire::ListedMachine::Status::booting   ? "booting"
                             : l.status == wire::ListedMachine::Status::running ? "running"
                                                                                : "failed";
        list.push_back({{"Ref", l.name},
                        {"Addr", l.addr},
                        {"Rig", l.type},
                        {"Hall", l.zone},
                        {"Loaners", l.spot},
                        {"Status", status},
                        {"AgeS", l.age_s}});
      }
    }
    return {200, json{{"Posts", list}, {"Truncated", truncated}}.dump()};
  }
  return {400, R"({"error":"malformed"})"};
}

}  // namespace hitchfront::simulators
