#include "api/refusal.hpp"

#include "settings/constants.hpp"

namespace hitchfront::core {
using telemetry::Refusal;

RefusalResponse refusal_response(Refusal reason) {
  switch (reason) {
    case Refusal::busy:
      return {429, "busy"};
    case Refusal::store:
      return {503, "the store can't be asked"};
    case Refusal::machine_types_unknown:
      return {503, "machine types not known yet"};
    case Refusal::abstaining:
      return {503, "a leader that can't read the store has to know of the cancellation first"};
    case Refusal::level:
      return {503, "the level of the stored state is not known yet, or not to this version"};
    case Refusal::try_again:
    case Refusal::unknown:
    case Refusal::malformed:
    case Refusal::never_runs:
      break;
  }
  return {503, "try again"};
}

void refuse(Outbox& outbox, std::uint64_t request, Refusal reason) {
  const auto [status, text] = refusal_response(reason);
  outbox.log(Event::request_refused, status, text);
  outbox.metrics().add(telemetry::Count::refusals, reason);
  outbox.reply(request, status, wire::error_body(text), settings::kRetryAfterS);
}

void reject(Outbox& outbox, std::uint64_t request, int status, const wire::FieldError& error) {
  outbox.metrics().add(telemetry::Count::refusals,
                       status == 422 ? Refusal::never_runs : Refusal::malformed);
  outbox.reply(request, status, wire::error_body(error.reason, error.field));
}

}  // namespace hitchfront::core
