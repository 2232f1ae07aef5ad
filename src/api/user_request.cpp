#include "api/user_request.hpp"

#include <utility>

#include "api/cancel_request.hpp"
#include "api/dependency_search.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using telemetry::Refusal;

std::string_view final_status(const wire::JobOutcome& outcome) {
  return outcome.cancelled ? wire::kCancelled : wire::kDone;
}

UserRequest::UserRequest(JobApiContext& context, std::uint64_t request, std::string id)
    : context_(context), request_(request), id_(std::move(id)) {}

void UserRequest::respond(int status, std::string body) {
  context_.outbox.reply(request_, status, std::move(body));
}

void UserRequest::respond_status(int status, std::string_view job_status) {
  respond(status, wire::job_status_body(id_, job_status));
}

void UserRequest::refuse(Refusal reason) {
  core::refuse(context_.outbox, request_, reason);
}

void UserRequest::reject(int status, const wire::FieldError& error) {
  core::reject(context_.outbox, request_, status, error);
}

void UserRequest::respond_cancelled(Ms now, std::string body) {
  const bool finished = context_.records.replica().outcome_of(id_).has_value();
  if (!finished && !context_.host.may_acknowledge_cancellation(now, id_))
    return refuse(Refusal::abstaining);
  respond(200, std::move(body));
}

void UserRequest::respond_cancelled_status(Ms now) {
  respond_cancelled(now, wire::job_status_body(id_, wire::kCancelled));
}

void UserRequest::respond_existing(Ms now, const JobLookup& lookup) {
  if (lookup.cancelled()) return respond_cancelled_status(now);
  if (lookup.outcome) return respond_status(200, final_status(*lookup.outcome));
  const auto& record = *lookup.unfinished;
  const auto status =
      record.launch_watermark > settings::kInitialLaunchWatermark ? wire::kRunning : wire::kPending;
  continue_unless_dependency_cancelled(
      now, record.job.dependencies,
      [self = shared_from_this(), status](Ms) { self->respond_status(200, status); });
}

// An accepted job must never be reported as unknown. A job in this node's replica was accepted, so
// its absence from the store proves data loss; and a process that has just started first has to
// hear from the other controllers whether the store has lost data.
void UserRequest::respond_unknown(Ms now, bool was_known) {
  if (confirm_unknown_or_refuse(now, was_known)) respond(404, wire::error_body("no such job"));
}

bool UserRequest::confirm_unknown_or_refuse(Ms now, bool was_known) {
  if (was_known) context_.host.report_data_loss_evidence(now);
  if (!was_known && context_.host.may_report_unknown(now)) return true;
  refuse(Refusal::level);
  return false;
}

void UserRequest::continue_unless_dependency_cancelled(Ms now,
                                                       const std::vector<std::string>& dependencies,
                                                       Continuation continuation) {
  if (dependencies.empty()) return continuation(now);
  DependencySearch::start(now, context_.records, context_.cache, dependencies,
                          [self = shared_from_this(), continuation = std::move(continuation)](
                              Ms t, DependencyState state) {
                            switch (state) {
                              case DependencyState::unknown:
                                return self->refuse(Refusal::store);
                              case DependencyState::some_cancelled:
                                return CancelRequest::start(t, self->context_, self->request_,
                                                            self->id_);
                              case DependencyState::none_cancelled:
                                return continuation(t);
                            }
                          });
}

}  // namespace hitchfront::core
