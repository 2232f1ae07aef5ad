// The controllers of a drill: real processes of one build or another, each on an address of its
// own of 127.0.0.0/8, and what a load balancer thinks of their health.
#pragma once
#include <event2/event.h>

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "drills/history.hpp"
#include "simulators/caller.hpp"
#include "simulators/process.hpp"

namespace hitchfront::drills {

inline constexpr std::int64_t kCancelMs = 30'000;  // of the settings

struct Options {
  std::map<std::string, std::string> programs;  // by the name of the build
  std::string directory;                        // for history, settings and logs
  int port = 18'000;                            // the first of two on each address
  std::uint64_t seed = 1;                       // of the users' draws
};

std::string state_address(const Options& options);
std::string cloud_address(const Options& options);

// Users are sent to healthy controllers alone: probed each second, unhealthy after two bad answers
// on end, and healthy again after two good ones, but not before a while.
class Health {
 public:
  // The status of a probe's answer; true: it has changed.
  bool probed(std::int64_t now, int status);
  bool healthy() const { return healthy_; }

 private:
  bool healthy_ = false;
  bool was_healthy_ = false;  // at any time; the first good answer is enough until then
  int good_ = 0, bad_ = 0;    // answers on end
  std::int64_t not_before_ = 0;
};

struct Controller {
  std::string name;
  std::string build;
  std::unique_ptr<simulators::Caller> caller;
  simulators::Process process;
  std::int64_t restart_at = 0;
  std::int64_t thaw_at = 0;  // 0: it is not frozen
  Health health;
  bool probing = false;
  std::int64_t next_probe_at = 0;
};

class Controllers {
 public:
  Controllers(event_base* base, int count, const std::string& build, const Options& options,
              History& history);
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  std::vector<Controller>& all() { return controllers_; }
  // Where users and machines reach each, by name.
  std::map<std::string, std::string> addresses() const;
  std::vector<Controller*> healthy();

  void start_all();
  // Starts and thaws those whose time has come, and probes all.
  void tick();
  // It is back a second later, of the build that it then has.
  void end(Controller& controller);
  void freeze(Controller& controller, std::int64_t ms);
  void end_all();

 private:
  std::string address(std::size_t controller, int port) const;
  nlohmann::json settings(std::size_t controller) const;
  nlohmann::json parameters() const;
  void start(std::size_t controller);
  void probe(Controller& controller);

  Options options_;
  History& history_;
  std::vector<Controller> controllers_;
};

}  // namespace hitchfront::drills
