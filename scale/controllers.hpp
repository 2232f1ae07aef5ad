// The controllers of a scale run: real processes, restarted when they end, and the processor time
// and memory that they take.
#pragma once
#include <event2/event.h>

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scale/options.hpp"
#include "scale/result.hpp"
#include "simulators/caller.hpp"
#include "simulators/process.hpp"

namespace hitchfront::scale {

inline constexpr std::int64_t kCancelMs = 60'000;    // of the settings
inline constexpr std::int64_t kRestartMs = 1000;     // from a process's end until it is back
inline constexpr std::int64_t kReplacedMs = 10'000;  // the same for one that is replaced

std::string region_name(int region);

// What the settings say of the deployment.
struct Deployment {
  std::vector<std::string> zones;
  struct Team {
    std::string name;
    double guarantee, limit;  // processors
  };
  std::vector<Team> teams;
};
Deployment deployment(const Options& options);

struct Controller {
  std::string name;
  std::string region;
  std::unique_ptr<simulators::Caller> caller;
  simulators::Process process;
  std::int64_t restart_at = 0;
  double ended_s = 0;          // processor time of its ended processes
  double running_s = 0;        // of the running one, as last sampled
  double measured_from_s = 0;  // processor_s() when the measured time began
  double peak = 0;             // of one core, over one sample
  double memory_mb = 0;        // the most seen
  double processor_s() const { return ended_s + running_s; }
};

// Cores in use since the last sample.
struct ProcessorSample {
  double busiest = 0, all = 0;
};

class Controllers {
 public:
  Controllers(event_base* base, const Options& options, const Deployment& deployment);
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  std::vector<Controller>& all() { return controllers_; }
  // None: there is no such controller.
  Controller* find(const std::string& name);
  // Where users and machines reach each, by name.
  std::map<std::string, std::string> addresses() const;

  void start_all();
  // Notices processes that ended by themselves, and starts those whose time has come.
  void tick(std::int64_t now);
  void end(Controller& controller, std::int64_t now, std::int64_t back_after_ms);
  void kill_all();

  ProcessorSample sample(double seconds);
  void begin_measuring();
  std::vector<ControllerLoad> loads(double seconds) const;  // since then

 private:
  nlohmann::json settings(std::size_t controller) const;
  nlohmann::json parameters() const;
  void start(std::size_t controller);

  Options options_;
  Deployment deployment_;
  std::vector<Controller> controllers_;
};

}  // namespace hitchfront::scale
