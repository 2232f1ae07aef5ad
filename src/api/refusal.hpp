// Error responses to users: refusals, which are temporary, and rejections, which are permanent.
#pragma once
#include <cstdint>

#include "core/effects.hpp"
#include "telemetry/metrics.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {

struct RefusalResponse {
  int status = 503;
  const char* text = "";
};
RefusalResponse refusal_response(telemetry::Refusal reason);

// Responds with 429 or 503 and Retry-After: the user should retry. Whether the request takes effect
// is left open.
void refuse(Outbox& outbox, std::uint64_t request, telemetry::Refusal reason);

// Responds with a permanent error. `status`: 400 if the request is malformed, 422 if the job can
// never run.
void reject(Outbox& outbox, std::uint64_t request, int status, const wire::FieldError& error);

}  // namespace hitchfront::core
