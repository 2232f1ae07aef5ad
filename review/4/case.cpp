// A leader that takes over before it knows the machine types gives up a task's place on a machine
// whose lease it has renewed itself, and starts the task elsewhere while it runs there.
#include <algorithm>

#include "stage.hpp"

using namespace stage;

namespace {
constexpr int kMachines = 10, kTasks = 4;
constexpr std::int64_t kBackMs = 5000;     // a controller is back after its end
constexpr std::int64_t kSlowMs = 600;      // one answer of the state service
constexpr std::int64_t kCutMs = 30'000;    // a machine is without a network
}  // namespace

int main(int, char** argv) {
  Stage stage(small_site(), argv[1]);
  stage.run_s = [](const std::string&) { return 300.0; };
  for (int i = 0; i < kMachines; ++i) stage.add_machine("szamolo-4", false, true);
  stage.start_all();
  const auto all_healthy = [&] {
    for (const auto& node : stage.nodes())
      if (!stage.healthy(node)) return false;
    return !stage.leader().empty();
  };
  if (!stage.wait_for(all_healthy, 20'000)) return stage.finish(kCannotRun, "not healthy");
  const auto job = make_job(1, kTasks, 4, 300);
  stage.upload(job);
  if (stage.insist("POST", "/work", job.dump()).status != 201)
    return stage.finish(kCannotRun, "the job was not accepted");
  std::vector<Worker*> busy;
  const auto running = [&] {
    busy.clear();
    for (const auto& machine : stage.machines())
      for (int task = 0; task < kTasks; ++task)
        if (machine->has("run-000001/" + std::to_string(task))) busy.push_back(machine.get());
    return busy.size() == kTasks;
  };
  if (!stage.wait_for(running, 20'000)) return stage.finish(kCannotRun, "the tasks did not start");
  stage.run_for(4000);

  const auto former = stage.leader();
  if (stage.trouble()) {
    for (const auto& node : stage.nodes()) stage.kill_node(node);
    // One answer is slow: that to the next leader's first read of the machine types.
    bool slow = false;
    stage.store().delay = [&stage, slow, former](const std::string& node,
                                                 const Request& request) mutable -> std::int64_t {
      const bool types = request.path == "/store/flavors" || request.path == "/store/rigs";
      if (slow || node != former || !types) return 0;
      slow = true;
      stage.record("state service: %s of %s is answered %lld ms late", request.path.c_str(),
                   node.c_str(), static_cast<long long>(kSlowMs));
      return kSlowMs;
    };
    stage.run_for(kBackMs);
    stage.start_all();
    // One machine is cut off when it has heard the new leader: the last of those with a task.
    const auto token = busy[0]->token();
    Worker* machine = nullptr;
    std::vector<Worker*> known;
    const auto all_heard = [&] {
      std::size_t heard = 0;
      for (auto* each : busy) {
        if (each->token() <= token) continue;
        ++heard;
        if (std::find(known.begin(), known.end(), each) != known.end()) continue;
        known.push_back(each);
        machine = each;
      }
      return heard == busy.size();
    };
    if (!stage.wait_for(all_heard, 12'000)) return stage.finish(kCannotRun, "no leader was heard");
    machine->cut = true;
    stage.record("%s is cut off", machine->name().c_str());
    stage.later(kCutMs, [machine] { machine->cut = false; });
  }
  stage.wait_for([&] { return stage.ran_twice > 0; }, 25'000);
  if (stage.ended_by_itself()) return stage.finish(kCannotRun, "a controller ended by itself");
  if (stage.ran_twice > 0)
    return stage.finish(kBroken, "a task started on a machine while it was on another");
  return stage.finish(kHeld, "no task was on two machines");
}
