#include "scale/controllers.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <utility>

namespace hitchfront::scale {
namespace {
using nlohmann::json;

constexpr int kUserConnections = 40;           // to each controller
constexpr int kClientPort = 0, kPeerPort = 1;  // see controller_address()
constexpr double kGuaranteedShare = 0.6;       // of all processors, by the teams together
constexpr double kLimitFactor = 4;             // a team's limit, times its guarantee

}  // namespace

std::string region_name(int region) {
  return "r" + std::to_string(region);
}

Deployment deployment(const Options& options) {
  Deployment out;
  for (int region = 0; region < options.regions; ++region)
    for (int zone = 0; zone < options.zones_per_region; ++zone)
      out.zones.push_back(region_name(region) + "-" + std::to_string(zone));
  const double guarantee = options.workers * kWorkerCpus * kGuaranteedShare / options.teams;
  for (int team = 0; team < options.teams; ++team)
    out.teams.push_back({"team-" + std::to_string(team), guarantee, guarantee * kLimitFactor});
  return out;
}

Controllers::Controllers(event_base* base, const Options& options, const Deployment& deployment)
    : options_(options), deployment_(deployment) {
  for (int i = 0; i < options.controllers; ++i) {
    Controller controller;
    controller.name = "c-" + std::to_string(i);
    controller.region = region_name(i % options.regions);
    controller.caller = std::make_unique<simulators::Caller>(
        base, controller_address(options, static_cast<std::size_t>(i), kClientPort),
        kUserConnections);
    controllers_.push_back(std::move(controller));
  }
}

Controller* Controllers::find(const std::string& name) {
  const auto it = std::find_if(controllers_.begin(), controllers_.end(),
                               [&](const Controller& c) { return c.name == name; });
  return it == controllers_.end() ? nullptr : &*it;
}

std::map<std::string, std::string> Controllers::addresses() const {
  std::map<std::string, std::string> out;
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    out[controllers_[i].name] = controller_address(options_, i, kClientPort);
  return out;
}

json Controllers::settings(std::size_t controller) const {
  json known = json::array();
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    if (i != controller)
      known.push_back({{"node", controllers_[i].name},
                       {"area", controllers_[i].region + "-0"},
                       {"endpoint", controller_address(options_, i, kPeerPort)}});
  return {{"node", controllers_[controller].name},
          {"area", controllers_[controller].region + "-0"},
          {"client_listen", controller_address(options_, controller, kClientPort)},
          {"peer_listen", controller_address(options_, controller, kPeerPort)},
          {"known", known},
          {"services",
           {{"cloud", service_address(options_, 1)}, {"state", service_address(options_, 0)}}},
          {"params", parameters()}};
}

json Controllers::parameters() const {
  json teams = json::array();
  for (const auto& team : deployment_.teams)
    teams.push_back({{"name", team.name}, {"cpus", team.guarantee}, {"cpus_max", team.limit}});
  return {
      {"nodes", controllers_.size()},
      {"zones", deployment_.zones},
      {"teams", teams},
      {"workers",
       {{"report_s", options_.heartbeat_s},
        {"lease_s", options_.lease_s},
        {"cancel_s", kCancelMs / 1000}}},
      {"state",
       {{"rps", options_.store_requests},
        {"write_rps", options_.store_writes},
        {"value_kb", 32},
        {"txn_ops", 24}}},
      {"cloud", {{"rps", 10}, {"list_lag_s", 5}}},
      {"resources", {{"cores", options_.cores}, {"memory_mb", 512}, {"max_connections", 20'000}}},
      {"time_bound_ms", 10}};
}

void Controllers::start_all() {
  for (std::size_t i = 0; i < controllers_.size(); ++i) start(i);
}

void Controllers::start(std::size_t index) {
  auto& controller = controllers_[index];
  const auto base_name = options_.directory + "/" + controller.name;
  const auto settings_file = base_name + ".json";
  std::ofstream(settings_file) << settings(index).dump();
  if (!controller.process.start(options_.program,
                                {"--log-format", "json", "--config", settings_file},
                                base_name + ".log"))
    std::fprintf(stderr, "hitchfront_scale: %s can't be started\n", controller.name.c_str());
}

void Controllers::tick(std::int64_t now) {
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    auto& controller = controllers_[i];
    if (controller.process.ended()) end(controller, now, kRestartMs);
    if (!controller.process.running() && now >= controller.restart_at) start(i);
  }
}

void Controllers::end(Controller& controller, std::int64_t now, std::int64_t back_after_ms) {
  if (const auto usage = controller.process.usage()) controller.running_s = usage->processor_s;
  controller.process.kill();
  controller.ended_s += std::exchange(controller.running_s, 0);
  controller.restart_at = now + back_after_ms;
}

void Controllers::kill_all() {
  for (auto& controller : controllers_) controller.process.kill();
}

ProcessorSample Controllers::sample(double seconds) {
  ProcessorSample sample;
  for (auto& controller : controllers_) {
    const auto usage = controller.process.usage();
    if (!usage) continue;
    const double cores = std::max(0.0, usage->processor_s - controller.running_s) / seconds;
    controller.running_s = usage->processor_s;
    controller.peak = std::max(controller.peak, cores);
    controller.memory_mb =
        std::max(controller.memory_mb, static_cast<double>(usage->memory_bytes) / 1e6);
    sample.busiest = std::max(sample.busiest, cores);
    sample.all += cores;
  }
  return sample;
}

void Controllers::begin_measuring() {
  for (auto& controller : controllers_) {
    controller.measured_from_s = controller.processor_s();
    controller.peak = 0;
  }
}

std::vector<ControllerLoad> Controllers::loads(double seconds) const {
  std::vector<ControllerLoad> out;
  for (const auto& c : controllers_)
    out.push_back({c.name, (c.processor_s() - c.measured_from_s) / seconds, c.peak, c.memory_mb});
  return out;
}

}  // namespace hitchfront::scale
