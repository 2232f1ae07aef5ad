#include "scale/users.hpp"

#include <algorithm>

#include "tests/simulation/job_requests.hpp"

namespace hitchfront::scale {
namespace {

constexpr std::int64_t kPollMs = 5000, kRetryMs = 1000;
constexpr std::int64_t kRequestTimeoutMs = 5000;
constexpr int kUrgentTasks = 4;
constexpr int kFirstId = 1'000'000;
constexpr double kMaxUrgentShare = 0.99;
constexpr double kMinSize = 0.5, kMaxSize = 1.5;  // of a standard job, times the mean

std::int64_t to_ms(double seconds) {
  return static_cast<std::int64_t>(seconds * 1000);
}

// Tasks of a job that is not urgent, on average, so that tasks start at the options' rate.
double mean_standard_tasks(const Options& options) {
  const double mean = starts_per_s(options) / jobs_per_s(options);
  return (mean - options.urgent * kUrgentTasks) / (1 - std::min(options.urgent, kMaxUrgentShare));
}

}  // namespace

Users::Users(const Options& options, Controllers& controllers, testing::InvariantChecker& checker,
             std::mt19937_64& random, const simulators::Stopwatch& clock)
    : options_(options),
      controllers_(controllers),
      checker_(checker),
      random_(random),
      clock_(clock) {}

bool Users::chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

// ---- new jobs

void Users::fill_fleet() {
  const auto jobs = static_cast<int>(jobs_per_s(options_) * options_.run_s) + 1;
  const auto running = starts_per_s(options_) * options_.run_s;
  const auto tasks = std::max(1, static_cast<int>(running / jobs));
  for (int i = 0; i < jobs; ++i) add_job(false, tasks);
}

void Users::submit_due_jobs() {
  const auto now = clock_.now();
  const auto elapsed_ms = now - std::exchange(last_submission_at_, now);
  due_jobs_ += jobs_per_s(options_) * static_cast<double>(elapsed_ms) / 1000;
  for (; due_jobs_ >= 1; due_jobs_ -= 1) {
    const bool urgent = chance(options_.urgent);
    const double size = std::uniform_real_distribution<>(kMinSize, kMaxSize)(random_);
    const auto standard = static_cast<int>(mean_standard_tasks(options_) * size);
    add_job(urgent, urgent ? kUrgentTasks : std::max(1, standard));
  }
}

void Users::add_job(bool urgent, int tasks) {
  const auto team = std::uniform_int_distribution<int>(0, options_.teams - 1)(random_);
  testing::PlainJob job;
  job.id = "run-" + std::to_string(kFirstId + users_.size());
  job.job_class = urgent ? "alert" : "batch";
  job.team = "team-" + std::to_string(team);
  job.priority = urgent ? "urgent" : "standard";
  job.tasks = std::min(tasks, static_cast<int>(wire::kMaxTasks));
  job.memory_gb = 2;
  job.image_gb = 0.5;
  job.estimate_s = options_.run_s;
  User user;
  user.id = job.id;
  user.body = to_json(job).dump();
  user.submitted_at = user.next_at = last_submission_at_;
  if (chance(options_.cancelled)) user.cancel_at = user.submitted_at + to_ms(options_.run_s / 2);
  checker_.jobs[user.id].spec = *wire::parse_job(user.body).job;
  submitted_at_[user.id] = user.submitted_at;
  ++totals_.jobs;
  users_.push_back(std::move(user));
}

// ---- requests about them

void Users::act() {
  if (clock_.now() < to_ms(options_.seconds)) submit_due_jobs();
  const auto now = clock_.now();
  for (std::size_t i = 0; i < users_.size(); ++i)
    if (!users_[i].waiting && !users_[i].over && now >= users_[i].next_at) act_for(i);
}

void Users::act_for(std::size_t index) {
  auto& user = users_[index];
  user.waiting = true;
  if (!user.accepted)
    submit(index);
  else if (user.cancel_at != 0 && clock_.now() >= user.cancel_at && !user.cancelled)
    cancel(index);
  else
    poll(index);
}

void Users::submit(std::size_t index) {
  const auto& user = users_[index];
  checker_.jobs[user.id].submitted = true;
  request(index, core::Method::post, testing::kSubmitPath, user.body, kRetryMs,
          [this](User& u, int status, const std::string& text) {
            const auto now = clock_.now();
            if (!testing::report_submission(checker_, u.id, {now, now, status, text})) return;
            u.accepted = true;
            ++totals_.accepted;
            totals_.accept_times.add(static_cast<double>(now - u.submitted_at) / 1000);
          });
}

void Users::cancel(std::size_t index) {
  const auto id = users_[index].id;
  checker_.jobs[id].cancel_asked = true;
  request(index, core::Method::post, testing::cancel_path(id), "", kRetryMs,
          [this, asked = clock_.now()](User& u, int status, const std::string& text) {
            u.cancelled = u.over =
                testing::report_cancellation(checker_, u.id, {clock_.now(), asked, status, text});
          });
}

void Users::poll(std::size_t index) {
  request(index, core::Method::get, testing::job_path(users_[index].id), "", kPollMs,
          [this, asked = clock_.now()](User& u, int status, const std::string& text) {
            if (!testing::report_poll(checker_, u.id, {clock_.now(), asked, status, text})) return;
            u.over = true;
            ++totals_.done;
          });
}

void Users::request(std::size_t index, core::Method method, const std::string& path,
                    const std::string& body, std::int64_t next_ms, OnAnswer done) {
  auto& controllers = controllers_.all();
  const auto drawn = std::uniform_int_distribution<std::size_t>(0, controllers.size() - 1)(random_);
  controllers[drawn].caller->call(
      method, path, body, kRequestTimeoutMs,
      [this, index, next_ms, done = std::move(done)](int status, const std::string& text) {
        if (status == 429 || status == 503) ++totals_.refused;
        auto& user = users_[index];
        user.waiting = false;
        user.next_at = clock_.now() + next_ms;
        done(user, status, text);
      });
}

bool Users::all_over() const {
  return std::all_of(users_.begin(), users_.end(),
                     [](const User& user) { return user.over || !user.accepted; });
}

}  // namespace hitchfront::scale
