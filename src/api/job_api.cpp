#include "api/job_api.hpp"

#include "api/cancel_request.hpp"
#include "api/poll_request.hpp"
#include "api/refusal.hpp"
#include "api/submit_request.hpp"

namespace hitchfront::core {

JobApi::JobApi(Outbox& outbox, StoreClient& store, const settings::Platform& platform,
               JobApiHost& host, recovery::StateReplica& replica)
    : outbox_(outbox),
      cache_(store),
      records_(store, replica, host),
      outcome_reads_(store, records_),
      context_{outbox, store, platform, host, cache_, records_, outcome_reads_, machine_types_} {
  cache_.on_record = [this](const std::string& job, const nlohmann::json& value,
                            const wire::UnfinishedJob& record, std::uint64_t version) {
    records_.on_record_read(job, value, record, version);
  };
}

void JobApi::submit(Ms now, std::int64_t wall_ms, std::uint64_t request, std::string_view body) {
  SubmitRequest::start(now, context_, request, body, wall_ms);
}

void JobApi::status(Ms now, std::uint64_t request, const std::string& id) {
  PollRequest::start(now, context_, request, id);
}

void JobApi::cancel(Ms now, std::uint64_t request, const std::string& id) {
  CancelRequest::start(now, context_, request, id);
}

void JobApi::refuse(std::uint64_t request, telemetry::Refusal reason) {
  core::refuse(outbox_, request, reason);
}

void JobApi::refresh_cache(Ms now) {
  cache_.query(now, {}, [](Ms, bool, const UnfinishedJobCache::Job*) {});
}

}  // namespace hitchfront::core
