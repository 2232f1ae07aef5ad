#include "api/poll_request.hpp"

#include "settings/constants.hpp"

namespace hitchfront::core {
using telemetry::Refusal;

void PollRequest::start(Ms now, JobApiContext& context, std::uint64_t request,
                        const std::string& id) {
  const std::shared_ptr<PollRequest> poll(new PollRequest(context, request, id));
  poll->begin(now);
}

void PollRequest::begin(Ms now) {
  if (!wire::valid_job_id(id_)) return respond(404, wire::error_body("no such job"));
  if (const auto outcome = context_.records.known_outcome(id_))
    return respond_outcome(now, *outcome);
  if (context_.records.replica().is_cancelled(id_)) return respond_outcome(now, {true, 0});
  if (context_.store.unreachable(now)) return refuse(Refusal::store);
  if (context_.cache.pending_polls() >= settings::kMaxPendingPolls) return refuse(Refusal::busy);
  query_cache(now);
}

void PollRequest::query_cache(Ms now) {
  was_known_ = context_.records.replica().contains(id_);
  context_.cache.query(
      now, id_,
      [poll = self<PollRequest>()](Ms t, bool store_answered, const UnfinishedJobCache::Job* job) {
        if (!store_answered) return poll->refuse(Refusal::store);
        if (job == nullptr) return poll->read_outcome(t);
        poll->respond_unfinished(t, *job);
      });
}

void PollRequest::respond_unfinished(Ms now, const UnfinishedJobCache::Job& job) {
  if (job.cancelled) {
    context_.records.cache_outcome(id_, {true, 0});
    return respond_cancelled(now, wire::job_counts_body(id_, wire::kCancelled, 0, 0));
  }
  continue_unless_dependency_cancelled(
      now, job.dependencies,
      [poll = self<PollRequest>(), may_have_launched = job.may_have_launched,
       has_launched = job.has_launched](Ms t) {
        if (may_have_launched) return poll->request_task_counts(t, has_launched);
        poll->respond(200, wire::job_counts_body(poll->id_, wire::kPending, 0, 0));
      });
}

void PollRequest::request_task_counts(Ms now, bool has_launched) {
  context_.host.request_task_counts(
      now, id_, [poll = self<PollRequest>(), has_launched](Ms, std::optional<TaskCounts> counts) {
        const bool running = counts ? counts->running > 0 : has_launched;
        const auto shown = counts.value_or(TaskCounts{});
        poll->respond(200,
                      wire::job_counts_body(poll->id_, running ? wire::kRunning : wire::kPending,
                                            shown.done, shown.running));
      });
}

// The limit on concurrent reads is checked when the read is needed rather than in begin(), where
// polls of the same job could be refused every time.
void PollRequest::read_outcome(Ms now) {
  if (context_.outcome_reads.is_full_for(id_)) return refuse(Refusal::busy);
  context_.outcome_reads.read(now, id_, was_known_,
                              [poll = self<PollRequest>()](Ms t, const OutcomeRead& read) {
                                switch (read.result) {
                                  case OutcomeRead::Result::found:
                                    return poll->respond_outcome(t, read.outcome);
                                  case OutcomeRead::Result::missing:
                                    return poll->respond_unknown(t, read.was_known);
                                  case OutcomeRead::Result::failed:
                                    return poll->refuse(Refusal::store);
                                }
                              });
}

void PollRequest::respond_outcome(Ms now, const wire::JobOutcome& outcome) {
  auto body = wire::job_counts_body(id_, final_status(outcome), outcome.done, 0);
  if (outcome.cancelled) return respond_cancelled(now, std::move(body));
  respond(200, std::move(body));
}

}  // namespace hitchfront::core
