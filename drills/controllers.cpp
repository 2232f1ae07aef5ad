#include "drills/controllers.hpp"

#include <fstream>

namespace hitchfront::drills {
namespace {
using nlohmann::json;

constexpr int kConnections = 50;               // to a controller
constexpr int kClientPort = 0, kPeerPort = 1;  // added to the first port
constexpr int kFirstHost = 10;                 // of 127.0.0.0/24
constexpr std::int64_t kRestartMs = 1000;      // a process is back this long after it ended
constexpr std::int64_t kProbeMs = 1000;        // between two probes
// Before a controller that was unhealthy may be healthy again.
constexpr std::int64_t kRecoveryMs = 3000;
constexpr int kGoodProbes = 2, kBadProbes = 2;
constexpr const char* kServicesHost = "127.0.0.9:";
constexpr const char* kZone = "east";

}  // namespace

std::string state_address(const Options& options) {
  return kServicesHost + std::to_string(options.port);
}

std::string cloud_address(const Options& options) {
  return kServicesHost + std::to_string(options.port + 1);
}

bool Health::probed(std::int64_t now, int status) {
  good_ = status == 200 ? good_ + 1 : 0;
  bad_ = status == 200 ? 0 : bad_ + 1;
  if (healthy_ && bad_ >= kBadProbes) {
    healthy_ = false;
    not_before_ = now + kRecoveryMs;
    return true;
  }
  const bool good_enough = was_healthy_ ? good_ >= kGoodProbes && now >= not_before_ : good_ >= 1;
  if (healthy_ || !good_enough) return false;
  healthy_ = was_healthy_ = true;
  return true;
}

Controllers::Controllers(event_base* base, int count, const std::string& build,
                         const Options& options, History& history)
    : options_(options), history_(history) {
  for (int i = 0; i < count; ++i) {
    Controller controller;
    controller.name = "a-" + std::to_string(i);
    controller.build = build;
    controller.caller = std::make_unique<simulators::Caller>(
        base, address(static_cast<std::size_t>(i), kClientPort), kConnections);
    controllers_.push_back(std::move(controller));
  }
}

std::string Controllers::address(std::size_t controller, int port) const {
  return "127.0.0." + std::to_string(kFirstHost + static_cast<int>(controller)) + ":" +
         std::to_string(options_.port + port);
}

std::map<std::string, std::string> Controllers::addresses() const {
  std::map<std::string, std::string> out;
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    out[controllers_[i].name] = address(i, kClientPort);
  return out;
}

std::vector<Controller*> Controllers::healthy() {
  std::vector<Controller*> out;
  for (auto& controller : controllers_)
    if (controller.health.healthy()) out.push_back(&controller);
  return out;
}

json Controllers::settings(std::size_t controller) const {
  json known = json::array();
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    if (i != controller)
      known.push_back(
          {{"node", controllers_[i].name}, {"area", kZone}, {"endpoint", address(i, kPeerPort)}});
  return {{"node", controllers_[controller].name},
          {"area", kZone},
          {"client_listen", address(controller, kClientPort)},
          {"peer_listen", address(controller, kPeerPort)},
          {"known", known},
          {"services", {{"cloud", cloud_address(options_)}, {"state", state_address(options_)}}},
          {"params", parameters()}};
}

json Controllers::parameters() const {
  return {{"nodes", controllers_.size()},
          {"zones", {kZone}},
          {"teams", {{{"name", "red"}, {"cpus", 8}, {"cpus_max", 16}}}},
          {"workers", {{"report_s", 1}, {"lease_s", 10}, {"cancel_s", kCancelMs / 1000}}},
          {"state", {{"rps", 500}, {"write_rps", 200}, {"value_kb", 8}, {"txn_ops", 12}}},
          {"cloud", {{"rps", 10}, {"list_lag_s", 1}}},
          {"resources", {{"cores", 0.5}, {"memory_mb", 72}, {"max_connections", 200}}},
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
  controller.process.start(options_.programs.at(controller.build),
                           {"--log-format", "json", "--config", settings_file}, base_name + ".log");
  history_.add({{"event", "start"}, {"node", controller.name}, {"build", controller.build}});
}

void Controllers::end(Controller& controller) {
  if (!controller.process.running()) return;
  controller.process.kill();
  controller.restart_at = history_.now() + kRestartMs;
  controller.thaw_at = 0;
  history_.add({{"event", "end"}, {"node", controller.name}});
}

void Controllers::end_all() {
  for (auto& controller : controllers_) end(controller);
}

void Controllers::freeze(Controller& controller, std::int64_t ms) {
  if (!controller.process.running()) return;
  controller.process.freeze();
  controller.thaw_at = history_.now() + ms;
}

void Controllers::tick() {
  const auto now = history_.now();
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    auto& controller = controllers_[i];
    if (controller.process.running() && controller.thaw_at != 0 && now >= controller.thaw_at) {
      controller.process.thaw();
      controller.thaw_at = 0;
    }
    if (!controller.process.running() && now >= controller.restart_at) start(i);
  }
  for (auto& controller : controllers_)
    if (!controller.probing && now >= controller.next_probe_at) probe(controller);
}

void Controllers::probe(Controller& controller) {
  controller.probing = true;
  controller.next_probe_at = history_.now() + kProbeMs;
  controller.caller->call(
      core::Method::get, "/healthz", "", kProbeMs,
      [this, &controller](int status, const std::string&) {
        controller.probing = false;
        if (!controller.health.probed(history_.now(), status)) return;
        const bool healthy = controller.health.healthy();
        history_.add({{"event", healthy ? "healthy" : "unhealthy"}, {"node", controller.name}});
      });
}

}  // namespace hitchfront::drills
