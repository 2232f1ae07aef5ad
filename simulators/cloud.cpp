#include "simulators/cloud.hpp"

#include <algorithm>

namespace hitchfront::simulators {
using nlohmann::json;
namespace {
constexpr std::int64_t kSnapshotMs = 200;  // between two states of the fleet that a list may show
constexpr std::size_t kPageMost = 500;     // PROTOCOL

Response malformed() {
  return {400, R"({"error":"malformed"})"};
}

const char* status_name(wire::ListedMachine::Status status) {
  switch (status) {
    case wire::ListedMachine::Status::booting:
      return "booting";
    case wire::ListedMachine::Status::running:
      return "running";
    default:
      return "failed";
  }
}

json entry(const wire::ListedMachine& machine) {
  return {{"Ref", machine.name},     {"Addr", machine.addr},
          {"Rig", machine.type},     {"Hall", machine.zone},
          {"Loaners", machine.spot}, {"Status", status_name(machine.status)},
          {"AgeS", machine.age_s}};
}

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
  m.rented_at = now;
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
    m.listed.age_s = static_cast<double>(now - m.rented_at) / 1000;
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
  if (path == "/machines" && method == "POST") return rent(now, body);
  if (path == "/machines/release") return release(now, body);
  if (path.starts_with("/machines") && method == "GET") return list(now, path);
  return malformed();
}

Response Cloud::rent(std::int64_t now, const std::string& body) {
  const json request = json::parse(body, nullptr, false);
  if (!request.is_object()) return malformed();
  const auto rental = request.at("Hire").get<std::string>();
  if (const auto it = rented_.find(rental); it != rented_.end()) return {200, it->second};
  json names = json::array();
  for (int i = 0; i < request.at("Number").get<int>(); ++i) {
    const auto name =
        scale_out(now, request.at("Rig").get<std::string>(), request.at("Hall").get<std::string>(),
                  request.at("Loaners").get<bool>());
    if (name.empty()) break;
    names.push_back(name);
  }
  if (names.empty()) return {503, R"({"error":"no capacity"})"};
  return {200, rented_[rental] = json{{"Posts", names}}.dump()};
}

Response Cloud::release(std::int64_t now, const std::string& body) {
  const json request = json::parse(body, nullptr, false);
  if (!request.is_object()) return malformed();
  for (const auto& name : request.at("Posts")) take(now, name.get<std::string>());
  return {200, "{}"};
}

// The list is as old as the lag, give or take, and may go backwards.
Response Cloud::list(std::int64_t now, const std::string& path) {
  const auto age =
      std::uniform_int_distribution<std::int64_t>(list_lag_ms_ / 2, 2 * list_lag_ms_)(random_);
  const auto asked = query(path, "Page");
  const std::size_t page =
      asked.empty() ? kPageMost : std::min<std::size_t>(kPageMost, std::stoull(asked));
  const auto after = query(path, "After");
  json entries = json::array();
  bool truncated = false;
  if (const auto* machines = listed_at(now - age))
    for (const auto& machine : *machines) {
      if (machine.name <= after) continue;
      if (entries.size() >= page) {
        truncated = true;
        break;
      }
      entries.push_back(entry(machine));
    }
  return {200, json{{"Posts", entries}, {"Truncated", truncated}}.dump()};
}

const std::vector<wire::ListedMachine>* Cloud::listed_at(std::int64_t when) const {
  const auto next = past_.upper_bound(when);
  return next == past_.begin() ? nullptr : &std::prev(next)->second;
}

}  // namespace hitchfront::simulators
