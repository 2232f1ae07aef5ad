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
  if (context_.cache.waiting() >= settings::kMaxPendingPolls) return refuse(Refusal::busy);
  ask_cache(now);
}

void PollRequest::ask_cache(Ms now) {
  known_ = context_.records.replica().contains(id_);
  context_.cache.ask(
      now, id_,
      [poll = self<PollRequest>()](Ms t, bool store_answered, const UnfinishedJobCache::Job* job) {
        if (!store_answered) return poll->refuse(Refusal::store);
        if (job == nullptr) return poll->read_outcome(t);
        poll->respond_unfinished(t, *job);
      });
}

void PollRequest::respond_unfinished(Ms now, const UnfinishedJobCache::Job& job) {
  if (job.cancelled) {
    context_.records.remember_outcome(id_, {true, 0});
    return respond_cancelled(now, wire::job_answer(id_, wire::kCancelled, 0, 0));
  }
  unless_cancelled_with(now, job.awaits,
                        [poll = self<PollRequest>(), may_have_launched = job.may_have_launched,
                         surely_launched = job.surely_launched](Ms t) {
                          if (may_have_launched) return poll->ask_counts(t, surely_launched);
                          poll->respond(200, wire::job_answer(poll->id_, wire::kPending, 0, 0));
                        });
}

void PollRequest::ask_counts(Ms now, bool surely_launched) {
  context_.host.ask_counts(
      now, id_,
      [poll = self<PollRequest>(), surely_launched](Ms, std::optional<TaskCounts> counts) {
        const bool running = counts ? counts->running > 0 : surely_launched;
        const auto shown = counts.value_or(TaskCounts{});
        poll->respond(200, wire::job_answer(poll->id_, running ? wire::kRunning : wire::kPending,
                                            shown.done, shown.running));
      });
}

// Refused only here, by how many reads are under way: at the start, one job's polls could lose each
// time.
void PollRequest::read_outcome(Ms now) {
  if (context_.outcome_reads.is_full_for(id_)) return refuse(Refusal::busy);
  context_.outcome_reads.read(now, id_, known_,
                              [poll = self<PollRequest>()](Ms t, const OutcomeRead& read) {
                                switch (read.result) {
                                  case OutcomeRead::Result::found:
                                    return poll->respond_outcome(t, read.outcome);
                                  case OutcomeRead::Result::missing:
                                    return poll->respond_unknown(t, read.known_when_asked);
                                  case OutcomeRead::Result::failed:
                                    return poll->refuse(Refusal::store);
                                }
                              });
}

void PollRequest::respond_outcome(Ms now, const wire::JobOutcome& outcome) {
  auto body = wire::job_answer(id_, final_status(outcome), outcome.done, 0);
  if (outcome.cancelled) return respond_cancelled(now, std::move(body));
  respond(200, std::move(body));
}

}  // namespace hitchfront::core
