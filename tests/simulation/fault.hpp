// The faults of a scenario: what happens at one moment, once parsed from the text in which
// scenarios name it.
#pragma once
#include <cstdint>
#include <string>
#include <variant>

namespace hitchfront::testing {

// Which controllers a fault strikes.
struct ControllerSelector {
  enum class Kind { all, leader, first_follower, named };
  Kind kind = Kind::all;
  std::string name;  // of a named one
};

namespace fault {

struct CrashControllers {  // "crash all | leader | a follower | NODE"
  ControllerSelector who;
};
struct FreezeControllers {  // "freeze leader|NODE MS"
  ControllerSelector who;
  std::int64_t ms = 0;
};
struct RefuseControllers {  // "refuse leader|NODE MS": by the state service alone
  ControllerSelector who;
  std::int64_t ms = 0;
};
struct IsolateLeader {  // "alone leader MS": from the state service and the other controllers
  std::int64_t ms = 0;
};
struct HangMachines {  // "hang": one for 25 s | "hang briefly": for 9 s | "hang COUNT"
  int count = 1;
  std::int64_t ms = 0;
};
struct FlapMachine {  // "flap MS": back in a moment; what it sent before still arrives
  std::int64_t ms = 0;
};
struct CancelRunningJobs {  // "cancel JOBS [MS]": and some of their machines hang for so long
  int jobs = 0;
  std::int64_t hang_ms = 0;
};
struct TakeMachine {};        // "take": a spot machine is gone without notice
struct NoticeMachine {};      // "notice": a spot machine is gone after its notice
struct BreakMachine {};       // "faulty": every task fails there from now on
struct StoreOutageBegins {};  // "outage"
struct StoreOutageEnds {};    // "mend"
struct StoreRollback {        // "back MS": the state service stands as it stood so long before
  std::int64_t ms = 0;
};
struct StoreLosesAll {};  // "lose-all"
struct BootTimes {        // "boots FACTOR": on the time that machines take to come up
  double factor = 1;
};
struct BootFailuresBegin {};  // "boots-fail": half of the machines never come up
struct BootsRecover {};       // "boots-mend"
struct CloudOutageBegins {};  // "cloud-out"
struct CloudOutageEnds {};    // "cloud-mend"

}  // namespace fault

using Fault = std::variant<fault::CrashControllers, fault::FreezeControllers,
                           fault::RefuseControllers, fault::IsolateLeader, fault::HangMachines,
                           fault::FlapMachine, fault::CancelRunningJobs, fault::TakeMachine,
                           fault::NoticeMachine, fault::BreakMachine, fault::StoreOutageBegins,
                           fault::StoreOutageEnds, fault::StoreRollback, fault::StoreLosesAll,
                           fault::BootTimes, fault::BootFailuresBegin, fault::BootsRecover,
                           fault::CloudOutageBegins, fault::CloudOutageEnds>;

// Throws std::invalid_argument for a text that names no fault.
Fault parse_fault(const std::string& text);

// How long the fault, or its process's restart, may last (ms).
std::int64_t lasts_ms(const Fault& fault, std::int64_t restart_ms);

}  // namespace hitchfront::testing
