// A drill: controllers as real processes, of one build or another, against the simulators, while a
// plan replaces, kills and freezes them and breaks the state service. Users submit, poll and
// cancel; the tests' invariant checker watches. docs/drills.md.
#pragma once
#include <event2/event.h>

#include <map>
#include <memory>

#include "drills/controllers.hpp"
#include "drills/history.hpp"
#include "drills/plan.hpp"
#include "drills/result.hpp"
#include "drills/users.hpp"
#include "simulators/host.hpp"
#include "tests/simulation/invariant_checker.hpp"

namespace hitchfront::drills {

class Drill {
 public:
  // Throws std::exception where a build of the plan is not among the options' programs, once it is
  // to be started.
  Drill(Plan plan, const Options& options);
  // Ends every process that it started.
  ~Drill();
  Drill(const Drill&) = delete;
  Drill& operator=(const Drill&) = delete;

  Result run();

 private:
  struct FreeBase {
    void operator()(event_base* base) const { event_base_free(base); }
  };

  void watch_machines();
  void tick();
  void keep_stores();
  void play(const Step& step);
  void act(const ReplaceController& action);
  void act(const KillController& action);
  void act(const FreezeController& action);
  void act(const RollBackStore& action);
  void act(const LoseStore& action);
  void act(const BeginStoreOutage& action);
  void act(const EndStoreOutage& action);
  std::vector<Controller*> select(const std::string& node);
  bool is_over() const;
  Result result() const;

  Plan plan_;
  History history_;
  testing::InvariantChecker checker_;
  std::unique_ptr<event_base, FreeBase> base_;
  Controllers controllers_;
  Users users_;
  std::unique_ptr<simulators::Host> host_;
  // The state service as it stood when a rollback's time began, by the step's index.
  std::map<std::size_t, std::shared_ptr<const simulators::Store::Kept>> kept_stores_;
  std::size_t next_step_ = 0;
};

}  // namespace hitchfront::drills
