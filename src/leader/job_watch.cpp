#include "leader/job_watch.hpp"

#include <algorithm>

#include "settings/constants.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::core {
using namespace settings;

void JobWatch::start(Ms now, std::uint64_t revision) {
  revision_ = revision;
  open(now);
}

void JobWatch::tick(Ms now) {
  if (reopen_at_ == 0 || now < reopen_at_) return;
  reopen_at_ = 0;
  open(now);
}

void JobWatch::open(Ms now) {
  if (now < earliest_open_at_) {
    reopen_at_ = earliest_open_at_;  // reopened by tick()
    return;
  }
  earliest_open_at_ = now + kMinJobWatchIntervalMs;
  context_.store.watch(now, wire::kUnfinishedJobPrefix, revision_,
                       context_.guarded([this, requested_at = now](Ms received_at, int status,
                                                                   std::string_view body) {
                         on_response(received_at, requested_at, status, body);
                       }));
}

void JobWatch::on_response(Ms now, Ms requested_at, int status, std::string_view body) {
  const auto page = status == 200 ? wire::parse_watch(body) : std::nullopt;
  if (!page && status == 410) {
    // The store has compacted revisions that were not read yet. The missed changes can't be
    // recovered, so step down: the next leader reads everything.
    context_.election.step_down(now, election::StepDownReason::watch_compacted);
    return;
  }
  if (!page) {
    reopen_at_ = now + kStoreRetryDelayMs;
    return;
  }
  revision_ = std::max(revision_, page->revision);
  for (const auto& event : page->events) apply(now, event);
  context_.environment.on_jobs_read(requested_at);
  jobs_.dependencies().resolve(now);
  open(now);
  listener_.on_jobs_changed(now);
}

void JobWatch::apply(Ms now, const wire::Event& event) {
  const auto id = event.key.substr(wire::kUnfinishedJobPrefix.size());
  auto* job = state_.jobs.find(id);
  if (event.deleted) {
    if (job != nullptr && event.version > job->version) jobs_.remove(now, id);
    return;
  }
  if (job == nullptr)
    job = jobs_.add(now, id, event.value, event.version);
  else if (event.version > job->version)
    update(now, *job, event);
  if (job != nullptr && job->cancelled) writer_.persist(now, *job);
}

void JobWatch::update(Ms now, JobState& job, const wire::Event& event) {
  job.version = event.version;
  const auto record = wire::decode_unfinished_job(event.value);
  if (!record) return;
  job.launch_watermark = std::max(job.launch_watermark, record->launch_watermark);
  if (record->cancelled && !job.cancelled) jobs_.cancel(now, job);
}

}  // namespace hitchfront::core
