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
  context_.out.reply(request_, status, std::move(body));
}

void UserRequest::respond_status(int status, std::string_view job_status) {
  respond(status, wire::job_status(id_, job_status));
}

void UserRequest::refuse(Refusal reason) {
  core::refuse(context_.out, request_, reason);
}

void UserRequest::deny(int status, const wire::BadField& bad) {
  core::deny(context_.out, request_, status, bad);
}

void UserRequest::respond_cancelled(Ms now, std::string body) {
  const bool over = context_.records.replica().outcome_of(id_).has_value();
  if (!over && !context_.host.may_acknowledge_cancellation(now, id_))
    return refuse(Refusal::abstaining);
  respond(200, std::move(body));
}

void UserRequest::respond_cancelled_status(Ms now) {
  respond_cancelled(now, wire::job_status(id_, wire::kCancelled));
}

void UserRequest::respond_found(Ms now, const FoundJob& found) {
  if (found.cancelled()) return respond_cancelled_status(now);
  if (found.outcome) return respond_status(200, final_status(*found.outcome));
  const auto& record = *found.unfinished;
  const auto status =
      record.launch_watermark > settings::kInitialLaunchWatermark ? wire::kRunning : wire::kPending;
  unless_cancelled_with(now, record.job.awaits, [self = shared_from_this(), status](Ms) {
    self->respond_status(200, status);
  });
}

// No node may call a job unknown that was accepted: what this one holds in its replica was, and a
// process that has just started asks the others first whether the store has forgotten something.
void UserRequest::respond_unknown(Ms now, bool known) {
  if (may_be_new(now, known)) respond(404, wire::error_body("no such job"));
}

bool UserRequest::may_be_new(Ms now, bool known) {
  if (known) context_.host.data_loss_proven(now);
  if (!known && context_.host.may_call_unknown(now)) return true;
  refuse(Refusal::level);
  return false;
}

void UserRequest::unless_cancelled_with(Ms now, const std::vector<std::string>& dependencies,
                                        Step otherwise) {
  if (dependencies.empty()) return otherwise(now);
  DependencySearch::start(
      now, context_.records, context_.cache, dependencies,
      [self = shared_from_this(), otherwise = std::move(otherwise)](Ms t, DependencyState state) {
        switch (state) {
          case DependencyState::unknown:
            return self->refuse(Refusal::store);
          case DependencyState::some_cancelled:
            return CancelRequest::start(t, self->context_, self->request_, self->id_);
          case DependencyState::none_cancelled:
            return otherwise(t);
        }
      });
}

}  // namespace hitchfront::core
