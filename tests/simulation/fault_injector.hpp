// Makes the scenario's faults happen: at their moments, or after a confirmed cancellation.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "simulation/controller_cluster.hpp"
#include "simulation/fault.hpp"
#include "simulation/simulated_platform.hpp"
#include "simulation/simulated_users.hpp"
#include "simulation/simulation_context.hpp"

namespace hitchfront::testing {

class FaultInjector {
 public:
  FaultInjector(SimulationContext& context, ControllerCluster& controllers,
                SimulatedPlatform& platform, SimulatedUsers& users)
      : context_(context), controllers_(controllers), platform_(platform), users_(users) {}

  // Schedules all that has a moment of its own; throws std::invalid_argument for an unknown fault.
  void schedule();
  // A user was answered by this controller that a job is cancelled.
  void cancellation_confirmed(const std::string& controller);
  void apply(const Fault& fault);
  // When the last fault that the scenario names is over.
  std::int64_t quiet_at() const;

 private:
  void schedule_limits();
  void schedule_versions();
  void schedule_rollback(std::int64_t when, std::int64_t ms);

  void apply(const fault::CrashControllers& f);
  void apply(const fault::FreezeControllers& f);
  void apply(const fault::RefuseControllers& f);
  void apply(const fault::IsolateLeader& f);
  void apply(const fault::HangMachines& f);
  void apply(const fault::FlapMachine& f);
  void apply(const fault::CancelRunningJobs& f);
  void apply(const fault::TakeMachine& f);
  void apply(const fault::NoticeMachine& f);
  void apply(const fault::BreakMachine& f);
  void apply(const fault::StoreOutageBegins& f);
  void apply(const fault::StoreOutageEnds& f);
  void apply(const fault::StoreRollback& f);
  void apply(const fault::StoreLosesAll& f);
  void apply(const fault::BootTimes& f);
  void apply(const fault::BootFailuresBegin& f);
  void apply(const fault::BootsRecover& f);
  void apply(const fault::CloudOutageBegins& f);
  void apply(const fault::CloudOutageEnds& f);

  SimulationContext& context_;
  ControllerCluster& controllers_;
  SimulatedPlatform& platform_;
  SimulatedUsers& users_;
  std::set<std::size_t> begun_after_cancel_;  // indices of Scenario::after_cancel
  // By the moment when it is put back.
  std::map<std::int64_t, std::shared_ptr<const simulators::Store::Kept>> kept_stores_;
};

}  // namespace hitchfront::testing
