// A leader that takes over before it knows the machine types passes over a waiting task when it
// gives up a later task of the same job, and ends when a machine has room for it.
#include "stage.hpp"

using namespace stage;

namespace {
constexpr double kNoticeS = 8;          // of a spot machine that is taken back
constexpr std::int64_t kBackMs = 5000;  // a controller is back after its end
constexpr std::int64_t kSlowMs = 600;   // one answer of the state service
constexpr double kRunS = 20;
}  // namespace

int main(int, char** argv) {
  Stage stage(small_site(), argv[1]);
  stage.run_s = [](const std::string&) { return kRunS; };
  stage.capacity = 6;
  stage.boot_ms = 30'000;
  auto& first = stage.add_machine("ledger-8", true, true);
  auto& second = stage.add_machine("ledger-8", true, true);
  stage.start_all();
  const auto all_healthy = [&] {
    for (const auto& node : stage.nodes())
      if (!stage.healthy(node)) return false;
    return !stage.leader().empty();
  };
  if (!stage.wait_for(all_healthy, 20'000)) return stage.finish(kCannotRun, "not healthy");
  const auto job = make_job(1, 2, 8, kRunS);
  stage.upload(job);
  if (stage.insist("POST", "/work", job.dump()).status != 201)
    return stage.finish(kCannotRun, "the job was not accepted");
  const auto has = [](const Worker& machine, int task) {
    return machine.has("run-000001/" + std::to_string(task));
  };
  const auto running = [&] {
    return (has(first, 0) && has(second, 1)) || (has(first, 1) && has(second, 0));
  };
  if (!stage.wait_for(running, 15'000)) return stage.finish(kCannotRun, "the job did not start");

  if (stage.trouble()) {
    // Cheap machines are taken back in a wave: one with a notice, and 3 s later one without.
    auto& noticed = has(first, 0) ? first : second;
    auto& silent = has(first, 0) ? second : first;
    noticed.notice_s = kNoticeS;
    stage.record("%s is told that it will be taken back", noticed.name().c_str());
    stage.later(static_cast<std::int64_t>(kNoticeS * 1000), [&] { noticed.take_back(); });
    stage.run_for(3000);
    // All controllers end.
    const auto leader = stage.leader();
    for (const auto& node : stage.nodes()) stage.kill_node(node);
    silent.take_back();
    bool slow = false;
    stage.store().delay = [&stage, slow, leader](const std::string& node,
                                                 const Request& request) mutable -> std::int64_t {
      const bool types = request.path == "/store/flavors" || request.path == "/store/rigs";
      if (slow || node != leader || !types) return 0;
      slow = true;
      stage.record("state service: %s of %s is answered %lld ms late", request.path.c_str(),
                   node.c_str(), static_cast<long long>(kSlowMs));
      return kSlowMs;
    };
    stage.run_for(kBackMs);
    stage.start_all();
  }

  bool done = false, ended = false;
  std::int64_t next_poll = 0;
  const auto over = [&] {
    ended = ended || stage.ended_by_itself();
    if (now_ms() >= next_poll) {
      next_poll = now_ms() + 5000;
      stage.ask(stage.nodes()[0], "GET", "/work/run-000001", {}, 2000,
                [&](const Answer& answer) { done = done || answer.job_status() == "done"; });
    }
    return ended || done;
  };
  stage.wait_for(over, 100'000);
  if (ended) return stage.finish(kBroken, "a controller ended by itself");
  if (done) return stage.finish(kHeld, "the job is done, and no controller ended by itself");
  return stage.finish(kCannotRun, "the job was not done in time");
}
