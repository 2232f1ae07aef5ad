#include "simulation/simulated_users.hpp"

#include <algorithm>
#include <set>

#include "simulation/job_requests.hpp"

namespace hitchfront::testing {
namespace {

constexpr std::int64_t kPostTimeoutMs = 5000;
constexpr std::int64_t kPollTimeoutMs = 2000;
constexpr std::int64_t kRetryMs = 1000;        // between two submissions or cancellations
constexpr std::int64_t kPollMs = 5000;         // of a job that goes on
constexpr std::int64_t kOverPollMs = 9000;     // of one that has ended
constexpr int kStormFactor = 8;                // by which polls are more frequent in a storm
constexpr std::int64_t kGiveUpMs = 60'000;     // of a job that nobody accepts
constexpr std::int64_t kMaxQueryDelayMs = 30;  // of a burst
constexpr int kMaxChainSteps = 4;              // so that there is time for all
constexpr std::size_t kRecentJobs = 8;         // of which dependencies are drawn
// Ids that nobody submits otherwise.
constexpr int kInvalidIds = 100'000'000;
constexpr int kUnknownDependencyIds = 200'000'000;
constexpr int kUnknownIds = 300'000'000;
const std::string kUnknownId = "run-999999999";

// Six digits that jump about, so that ids do not come in their order.
std::string job_id(int number) {
  const auto digits = std::to_string(number * 7919 % 1'000'000);
  return "run-" + std::string(6 - std::min<std::size_t>(6, digits.size()), '0') + digits;
}

}  // namespace

SimulatedUsers::SimulatedUsers(SimulationContext& context, SimulatedNetwork& network,
                               ControllerCluster& controllers)
    : context_(context), network_(network), controllers_(controllers) {}

std::vector<std::string> SimulatedUsers::unfinished() const {
  std::vector<std::string> out;
  for (const auto& user : users_)
    if (user.accepted && !user.over) out.push_back(user.id);
  return out;
}

// ---- new jobs

void SimulatedUsers::submit_new_job() {
  auto& random = context_.random;
  const auto& scenario = context_.scenario;
  auto& jobs = context_.observed.checker.jobs;
  next_job_at_ = context_.now() +
                 static_cast<std::int64_t>(
                     std::exponential_distribution<>(scenario.jobs_per_s)(random.engine()) * 1000);
  User user;
  user.spec = draw_job();
  user.id = user.spec.id;
  user.submitted_at = context_.now();
  user.cancel_at = draw_cancel_time(user.spec);
  const bool is_array = user.spec.form == wire::JobForm::array;
  if (scenario.always_failing > 0 && is_array && random.chance(scenario.always_failing)) {
    jobs[user.id].always_fails = true;
    user.cancel_at = scenario.run_ms;
  }
  const bool is_service = user.spec.form == wire::JobForm::service;
  if (scenario.chains > 0 && !is_service && random.chance(scenario.chains))
    user.spec.dependencies = draw_awaited();
  jobs[user.id].spec = user.spec;
  if (scenario.chains > 0 && random.chance(0.1)) submit_with_unknown_dependency(user.spec);
  users_.push_back(std::move(user));
}

wire::Job SimulatedUsers::draw_job() {
  auto& random = context_.random;
  const auto& scenario = context_.scenario;
  wire::Job job;
  job.id = job_id(next_id_++);
  job.job_class = random.chance(0.5) ? "alpha" : "beta";
  const bool best_effort = context_.now() < scenario.best_effort_until ||
                           (scenario.best_effort > 0 && random.chance(scenario.best_effort));
  job.team = best_effort ? "guest" : random.chance(0.5) ? "red" : "blue";
  job.image = "img-" + std::to_string(random.between(0, 3));
  job.image_gb = 1;
  job.form = random.chance(scenario.services) ? wire::JobForm::service : wire::JobForm::array;
  job.priority = static_cast<wire::Priority>(random.between(0, 3));
  job.tasks = job.form == wire::JobForm::service
                  ? 2
                  : static_cast<std::uint32_t>(random.between(1, scenario.tasks_most));
  job.cpus = static_cast<double>(random.between(1, 3));
  if (scenario.large_job_cpus > 0 && random.chance(0.1)) job.cpus = scenario.large_job_cpus;
  job.memory_gb = job.cpus * 2;
  draw_placement(job);
  return job;
}

// Where it may run, and whether its tasks save.
void SimulatedUsers::draw_placement(wire::Job& job) {
  auto& random = context_.random;
  const auto& scenario = context_.scenario;
  if (random.chance(scenario.bound_to_zone)) job.zone = scenario.zones[0];
  if (random.chance(0.2)) job.types = std::vector<std::string>{"large"};
  job.one_zone = random.chance(0.2);
  job.spread = !job.one_zone && !job.zone && scenario.zones.size() > 1 && random.chance(0.2);
  job.spot = random.chance(0.7);
  job.estimate_s = 8;
  const bool saves = random.chance(0.4) || scenario.low_priority_only;
  if (saves) {
    job.checkpoint_s = 4;
    job.save_s = 1;
  }
  if (!scenario.low_priority_only) return;
  job.priority = wire::Priority::low;
  job.zone.reset();
  job.types.reset();
  job.one_zone = job.spread = false;
  job.spot = true;
}

// 0: never.
std::int64_t SimulatedUsers::draw_cancel_time(const wire::Job& job) {
  auto& random = context_.random;
  const auto& scenario = context_.scenario;
  const bool cancels = job.form == wire::JobForm::service || random.chance(scenario.cancels);
  if (!cancels) return 0;
  if (scenario.cancel_to > 0)
    return std::max(context_.now() + 100, random.between(scenario.cancel_from, scenario.cancel_to));
  return context_.now() + random.between(100, 40'000);
}

// One to three jobs that were accepted, most of them recently, in any state, and with few steps
// before them.
std::vector<std::string> SimulatedUsers::draw_awaited() {
  auto& random = context_.random;
  const auto& jobs = context_.observed.checker.jobs;
  std::vector<std::string> known;
  for (const auto& user : users_)
    if (user.accepted && user.spec.form != wire::JobForm::service &&
        !jobs.at(user.id).always_fails && steps_before(user.id) < kMaxChainSteps)
      known.push_back(user.id);
  if (known.empty()) return {};
  const std::size_t recent = std::min(known.size(), kRecentJobs);
  const std::size_t first = known.size() - recent;
  std::set<std::string> drawn;
  for (auto names = random.between(1, 3); names > 0; --names)
    drawn.insert(known[first + random.index(recent)]);
  return {drawn.begin(), drawn.end()};
}

int SimulatedUsers::steps_before(const std::string& id) const {
  int most = 0;
  for (const auto& awaited : context_.observed.checker.jobs.at(id).spec.dependencies)
    most = std::max(most, 1 + steps_before(awaited));
  return most;
}

void SimulatedUsers::submit_with_unknown_dependency(const wire::Job& like) {
  auto job = like;
  job.id = "run-" + std::to_string(kUnknownDependencyIds + next_id_);
  job.dependencies.push_back("run-" + std::to_string(kUnknownIds + next_id_));
  controllers_.request(
      controllers_.draw_any(), "user", core::Method::post, kSubmitPath, wire::to_json(job).dump(),
      [this, id = job.id](int status, const std::string&) {
        context_.observed.checker.unknown_awaited_answer(id, status);
      },
      kPostTimeoutMs);
}

// ---- requests about them

void SimulatedUsers::act() {
  const auto now = context_.now();
  if (now <= context_.scenario.run_ms && now >= next_job_at_) submit_new_job();
  for (std::size_t i = 0; i < users_.size(); ++i) {
    const auto& user = users_[i];
    const bool gave_up = !user.accepted && now > user.submitted_at + kGiveUpMs;
    if (!user.waiting && now >= user.next_at && !gave_up) act_for(i);
  }
}

void SimulatedUsers::act_for(std::size_t index) {
  auto& user = users_[index];
  auto& to = controllers_.draw_any();
  if (context_.scenario.no_users.contains(to.index)) return;
  user.waiting = true;
  // Retries of jobs that are long over must be known still, even with a body that is not valid.
  const bool retry = user.over && context_.random.between(0, 3) == 0;
  if (!user.accepted || retry)
    submit(index, to, retry);
  else if (user.cancel_at != 0 && context_.now() >= user.cancel_at && !user.over)
    cancel(index, to);
  else
    poll(index, to);
}

void SimulatedUsers::submit(std::size_t index, SimulatedController& to, bool invalid_retry) {
  auto& job = users_[index];
  context_.observed.checker.jobs[job.id].submitted = true;
  auto body = wire::to_json(job.spec);
  if (invalid_retry) body["Cpus"] = -1;
  send_twice_sometimes(to, kSubmitPath, body.dump());
  controllers_.request(
      to, "user", core::Method::post, kSubmitPath, body.dump(),
      [this, index, asked = context_.now()](int status, const std::string& text) {
        auto& user = users_[index];
        const auto now = context_.now();
        user.waiting = false;
        user.next_at = now + (user.over ? kOverPollMs : kRetryMs);
        auto& checker = context_.observed.checker;
        checker.submitted_answer(now, user.id, status);
        if (!is_accepted(status)) return;
        const bool first = !std::exchange(user.accepted, true);
        if (first) ++context_.observed.accepted;
        checker.polled(now, asked, user.id, 200, job_state(text));
        if (first) burst_of_queries(index);
      },
      kPostTimeoutMs);
}

void SimulatedUsers::cancel(std::size_t index, SimulatedController& to) {
  const auto id = users_[index].id;
  context_.observed.checker.jobs[id].cancel_asked = true;
  send_twice_sometimes(to, cancel_path(id), "");
  controllers_.request(
      to, "user", core::Method::post, cancel_path(id), "",
      [this, index, name = to.name, asked = context_.now()](int status, const std::string& text) {
        auto& user = users_[index];
        user.waiting = false;
        user.next_at = context_.now() + kRetryMs;
        auto& checker = context_.observed.checker;
        if (!report_cancellation(checker, user.id, {context_.now(), asked, status, text})) return;
        if (checker.jobs[user.id].acknowledged_cancelled && cancel_confirmed_)
          cancel_confirmed_(name);
        finish(index);
      },
      kPostTimeoutMs);
}

void SimulatedUsers::poll(std::size_t index, SimulatedController& to) {
  const bool asks_for_unknown = context_.random.between(0, 30) == 0;
  const std::string id = asks_for_unknown ? kUnknownId : users_[index].id;
  controllers_.request(
      to, "user", core::Method::get, job_path(id), "",
      [this, index, id, asked = context_.now()](int status, const std::string& text) {
        auto& user = users_[index];
        user.waiting = false;
        user.next_at = context_.now() +
                       (user.over ? kOverPollMs : kPollMs) / (in_poll_storm() ? kStormFactor : 1);
        const bool ended =
            report_poll(context_.observed.checker, id, {context_.now(), asked, status, text});
        if (ended && id == user.id) finish(index);
      },
      kPollTimeoutMs);
}

bool SimulatedUsers::in_poll_storm() const {
  const auto& scenario = context_.scenario;
  return context_.now() >= scenario.poll_storm_from && context_.now() < scenario.poll_storm_to;
}

void SimulatedUsers::finish(std::size_t index) {
  if (std::exchange(users_[index].over, true)) return;
  ++context_.observed.finished;
  burst_of_queries(index);
}

void SimulatedUsers::send_twice_sometimes(SimulatedController& to, const std::string& path,
                                          const std::string& body) {
  network_.duplicate(context_.scenario.request_repeats, [this, &to, path, body] {
    controllers_.request(
        to, "user", core::Method::post, path, body, [](int, const std::string&) {}, kPostTimeoutMs);
  });
}

void SimulatedUsers::burst_of_queries(std::size_t index) {
  const auto now = context_.now();
  if (now < context_.scenario.query_burst_from || now >= context_.scenario.query_burst_to) return;
  auto& random = context_.random;
  const auto id = users_[index].id;
  const auto at_any_moment = [&](EventQueue::Action action) {
    context_.events.after(random.between(1, kMaxQueryDelayMs), std::move(action));
  };
  for (auto& controller : controllers_.all()) {
    const auto poll_here = [this, id, &to = *controller] {
      controllers_.request(
          to, "user", core::Method::get, job_path(id), "",
          [this, id, asked = context_.now()](int status, const std::string& text) {
            report_poll(context_.observed.checker, id, {context_.now(), asked, status, text});
          },
          kPollTimeoutMs);
    };
    at_any_moment(poll_here);
    at_any_moment(poll_here);
    at_any_moment([this, id, body = wire::to_json(users_[index].spec).dump(), &to = *controller] {
      controllers_.request(
          to, "user", core::Method::post, kSubmitPath, body,
          [this, id, asked = context_.now()](int status, const std::string& text) {
            auto& checker = context_.observed.checker;
            checker.submitted_answer(context_.now(), id, status);
            if (status == 200) checker.polled(context_.now(), asked, id, 200, job_state(text));
          },
          kPostTimeoutMs);
    });
  }
  auto& user = users_[index];
  if (!user.over && user.cancel_at == 0 && random.between(0, 5) == 0)
    user.cancel_at = user.next_at = now;
}

// ---- what the scenario asks of them

void SimulatedUsers::send_invalid_requests() {
  const auto now = context_.now();
  const auto& scenario = context_.scenario;
  if (now < scenario.invalid_requests_from || now >= scenario.invalid_requests_to) return;
  if (now < next_invalid_at_ || users_.empty()) return;
  next_invalid_at_ = now + context_.random.between(50, 500);
  auto& to = controllers_.draw_any();
  const auto& user = users_[context_.random.index(users_.size())];
  const auto id = user.id;
  auto& checker = context_.observed.checker;
  if (user.accepted && !user.over) {
    controllers_.request(
        to, "user", core::Method::post, kSubmitPath, wire::to_json(user.spec).dump(),
        [this, &checker, id](int status, const std::string&) {
          checker.submitted_answer(context_.now(), id, status);
        },
        kPostTimeoutMs);
  } else if (user.accepted && checker.jobs[id].acknowledged_done) {
    controllers_.request(
        to, "user", core::Method::post, cancel_path(id), "",
        [this, &checker, id, asked = now](int status, const std::string& text) {
          report_cancellation(checker, id, {context_.now(), asked, status, text});
        },
        kPostTimeoutMs);
  }
  send_invalid_submission(to, user.spec);
}

// A job that fits no machine, lacks a field, or asks for a machine type that there isn't.
void SimulatedUsers::send_invalid_submission(SimulatedController& to, const wire::Job& like) {
  auto job = wire::to_json(like);
  job["Ref"] = "run-" + std::to_string(kInvalidIds + next_id_++);
  switch (context_.random.between(0, 2)) {
    case 0:
      job["Cpus"] = 1000.0;
      break;
    case 1:
      job.erase("Kit");
      break;
    default:
      job["Rigs"] = {"none"};
  }
  controllers_.request(
      to, "user", core::Method::post, kSubmitPath, job.dump(),
      [this, request = job.dump()](int status, const std::string&) {
        context_.observed.checker.invalid_submission_answer(request, status);
      },
      kPostTimeoutMs);
}

void SimulatedUsers::task_done(const std::string& id) {
  const auto& scenario = context_.scenario;
  const auto& job = context_.observed.checker.jobs[id];
  if (scenario.cancels_at_end <= 0 || context_.now() > scenario.run_ms) return;
  if (job.done.size() != job.spec.tasks || !context_.random.chance(scenario.cancels_at_end)) return;
  for (auto& user : users_)
    if (user.id == id && !user.over) user.cancel_at = user.next_at = context_.now();
}

std::set<std::string> SimulatedUsers::cancel_running(int jobs, std::size_t max_machines) {
  std::vector<std::size_t> order(users_.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::shuffle(order.begin(), order.end(), context_.random.engine());
  std::set<std::string> machines;
  for (const auto i : order) {
    if (jobs == 0) break;
    auto& user = users_[i];
    const auto on = context_.observed.checker.machines_of(user.id);
    if (!user.accepted || user.over || user.cancel_at != 0 || on.empty()) continue;
    --jobs;
    user.cancel_at = user.next_at = context_.now() + context_.random.between(0, 200);
    for (const auto& name : on)
      if (machines.size() < max_machines) machines.insert(name);
  }
  return machines;
}

}  // namespace hitchfront::testing
