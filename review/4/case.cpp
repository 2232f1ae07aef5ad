// A leader that takes over before it knows the machine types gives up a task's place on a machine
// whose lease it has renewed itself, and starts the task elsewhere while it runs there.
#include <algorithm>

#include "stage.hpp"

using namespace stage;

namespace {
constexpr int kMachines = 10, kTasks = 4;
constexpr std::int64_t kBackMs = 5000;   // a controller is back after its end
constexpr std::int64_t kCutMs = 30'000;  // a machine is without a network
}  // namespace

int main(int, char** argv) {
  Stage stage(small_site(), argv[1]);
  stage.run_s = [](const std::string& task) {
    return task.starts_with("run-000001/") ? 1.0 : 300.0;
  };
  for (int i = 0; i < kMachines; ++i) stage.add_machine("ledger-8", false, true);
  stage.start_all();
  const auto all_healthy = [&] {
    for (const auto& node : stage.nodes())
      if (!stage.healthy(node)) return false;
    return !stage.leader().empty();
  };
  if (!stage.wait_for(all_healthy, 20'000)) return stage.finish(kCannotRun, "not healthy");
  // A first job brings the image to every machine. The second one's tasks take a machine each.
  const auto run = [&](const json& job) {
    stage.upload(job);
    return stage.insist("POST", "/work", job.dump()).status == 201;
  };
  if (!run(make_job(1, kMachines, 8, 1))) return stage.finish(kCannotRun, "not accepted");
  const auto first_done = [&] {
    for (int task = 0; task < kMachines; ++task)
      if (!stage.completed("run-000001/" + std::to_string(task))) return false;
    return true;
  };
  if (!stage.wait_for(first_done, 20'000)) return stage.finish(kCannotRun, "the first job waits");
  if (!run(make_job(2, kTasks, 8, 300))) return stage.finish(kCannotRun, "not accepted");
  std::vector<Worker*> busy;
  const auto running = [&] {
    busy.clear();
    for (const auto& machine : stage.machines())
      for (int task = 0; task < kTasks; ++task)
        if (machine->has("run-000002/" + std::to_string(task))) busy.push_back(machine.get());
    return busy.size() == kTasks;
  };
  if (!stage.wait_for(running, 20'000)) return stage.finish(kCannotRun, "the tasks did not start");
  stage.run_for(4000);

  const auto former = stage.leader();
  if (stage.trouble()) {
    for (const auto& node : stage.nodes()) stage.kill_node(node);
    // One request gets no answer: the next leader's first read of the machine types.
    bool lost = false;
    stage.store().delay = [&stage, lost, former](const std::string& node,
                                                 const Request& request) mutable -> std::int64_t {
      const bool types = request.path == "/store/flavors" || request.path == "/store/rigs";
      if (lost || node != former || !types) return 0;
      lost = true;
      stage.record("state service: %s of %s gets no answer", request.path.c_str(), node.c_str());
      return -1;
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
