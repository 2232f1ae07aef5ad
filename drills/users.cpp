#include "drills/users.hpp"

#include <algorithm>

namespace hitchfront::drills {
namespace {

constexpr std::int64_t kFirstJobMs = 500;
constexpr std::int64_t kPollMs = 1000;
constexpr int kOverPollFactor = 7;          // polls of ended jobs are so much rarer
constexpr std::int64_t kGiveUpMs = 60'000;  // of a job that nobody accepts
constexpr std::int64_t kRequestTimeoutMs = 4000;
constexpr int kMaxTasks = 6;
constexpr int kCancelledPart = 6;                                    // one job in so many
constexpr std::int64_t kCancelFromMs = 500, kCancelWithinMs = 8000;  // after the submission
// After a loss, a loss-unaware controller may tell users for so long what was lost.
constexpr std::int64_t kLossUnawareMs = 20'000;
// Controllers read each other's copies so often: what one accepted since may be known to it alone.
constexpr std::int64_t kCopyReadMs = 1000;

}  // namespace

Users::Users(const Plan& plan, std::uint64_t seed, Controllers& controllers,
             testing::InvariantChecker& checker, History& history)
    : plan_(plan),
      random_(seed),
      controllers_(controllers),
      checker_(checker),
      history_(history),
      next_job_at_(kFirstJobMs),
      lost_at_(-kLossUnawareMs) {}

void Users::act() {
  const auto now = history_.now();
  if (now < plan_.run_ms && now >= next_job_at_) submit_new_job();
  for (std::size_t i = 0; i < users_.size(); ++i) {
    const auto& user = users_[i];
    const bool gave_up = !user.accepted && now > user.submitted_at + kGiveUpMs;
    if (!user.waiting && now >= user.next_at && !gave_up) act_for(i);
  }
}

void Users::submit_new_job() {
  const auto now = history_.now();
  next_job_at_ = now + static_cast<std::int64_t>(1000 / plan_.jobs_per_s);
  testing::PlainJob job;
  job.id = "run-" + std::to_string(100'000 + users_.size());
  job.job_class = "c";
  job.team = "red";
  job.tasks = 1 + static_cast<int>(random_() % kMaxTasks);
  User user;
  user.id = job.id;
  user.body = to_json(job).dump();
  user.submitted_at = now;
  checker_.jobs[user.id].spec = *wire::parse_job(user.body).job;
  if (random_() % kCancelledPart == 0)
    user.cancel_at = now + kCancelFromMs + static_cast<std::int64_t>(random_() % kCancelWithinMs);
  users_.push_back(std::move(user));
}

void Users::act_for(std::size_t index) {
  auto& user = users_[index];
  const auto now = history_.now();
  user.waiting = true;
  user.next_at = now + (user.over ? kOverPollFactor : 1) * kPollMs;
  if (!user.accepted)
    submit(index);
  else if (user.cancel_at != 0 && now >= user.cancel_at && !user.over)
    cancel(index);
  else
    poll(index);
}

void Users::submit(std::size_t index) {
  const auto& user = users_[index];
  checker_.jobs[user.id].submitted = true;
  request(index, "submit", core::Method::post, testing::kSubmitPath, user.body,
          [this](User& u, const Answer& answer) {
            if (!testing::report_submission(checker_, u.id, answer)) return;
            u.accepted = true;
            u.accepted_at = answer.now;
            u.accepted_by_loss_unaware = answer.by.loss_unaware;
          });
}

void Users::cancel(std::size_t index) {
  const auto id = users_[index].id;
  checker_.jobs[id].cancel_asked = true;
  request(index, "cancel", core::Method::post, testing::cancel_path(id), "",
          [this](User& u, const Answer& answer) {
            u.over = testing::report_cancellation(checker_, u.id, answer) || u.over;
          });
}

void Users::poll(std::size_t index) {
  request(index, "poll", core::Method::get, testing::job_path(users_[index].id), "",
          [this](User& u, const Answer& answer) {
            u.over = testing::report_poll(checker_, u.id, answer) || u.over;
          });
}

void Users::request(std::size_t index, const char* kind, core::Method method,
                    const std::string& path, const std::string& body, OnAnswer done) {
  const auto healthy = controllers_.healthy();
  Controller* to = healthy.empty() ? nullptr : healthy[random_() % healthy.size()];
  Answerer by;
  if (to != nullptr)
    by = {to->name + " (" + to->build + ")", to->build == plan_.loss_unaware_build};
  const auto on_answer = [this, index, kind, by, asked = history_.now(), done = std::move(done)](
                             int status, const std::string& text) {
    answered(index, kind, {{history_.now(), asked, status, text}, by}, done);
  };
  if (to == nullptr) return on_answer(0, "");
  to->caller->call(method, path, body, kRequestTimeoutMs, on_answer);
}

void Users::answered(std::size_t index, const char* kind, const Answer& answer,
                     const OnAnswer& done) {
  auto& user = users_[index];
  const bool good = answer.status >= 200 && answer.status < 300;
  ++(good ? totals_.good_answers : totals_.other_answers);
  if (answer.status == 503 || answer.status == 429) totals_.last_refused_at = answer.now;
  user.waiting = false;
  const auto violations = checker_.what.size();
  done(user, answer);
  if (is_excused(user, answer.by)) totals_.excused_violations += checker_.what.size() - violations;
  history_.add({{"event", kind},
                {"job", user.id},
                {"status", answer.status},
                {"state", testing::job_state(answer.body)},
                {"by", answer.by.name}});
}

// A version that heeds no loss and still serves users tells them what stands there until the state
// is recovered.
bool Users::is_excused(const User& user, const Answerer& by) const {
  return (by.loss_unaware && history_.now() - lost_at_ < kLossUnawareMs) ||
         lost_jobs_.contains(user.id);
}

void Users::store_lost() {
  lost_at_ = history_.now();
  for (const auto& user : users_)
    if (user.accepted_by_loss_unaware && lost_at_ - user.accepted_at < kCopyReadMs)
      lost_jobs_.insert(user.id);
}

bool Users::all_over() const {
  return std::all_of(users_.begin(), users_.end(),
                     [](const User& user) { return user.over || !user.accepted; });
}

Users::Totals Users::totals() const {
  auto totals = totals_;
  for (const auto& user : users_) {
    totals.accepted += user.accepted ? 1 : 0;
    totals.finished += user.over ? 1 : 0;
  }
  totals.lost_jobs = lost_jobs_.size();
  return totals;
}

}  // namespace hitchfront::drills
