// Responses to users that decide nothing, or decide against the request.
#pragma once
#include <cstdint>

#include "core/effects.hpp"
#include "telemetry/metrics.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {

// How a refusal for now is answered.
struct RefusalResponse {
  int status = 503;
  const char* text = "";
};
RefusalResponse refusal_response(telemetry::Refusal reason);

// The user is to come again; nothing has been decided.
void refuse(Outbox& out, std::uint64_t request, telemetry::Refusal reason);

// For good: 400 where the request is malformed, 422 where the job can never run.
void deny(Outbox& out, std::uint64_t request, int status, const wire::BadField& bad);

}  // namespace hitchfront::core
