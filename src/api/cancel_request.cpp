#include "api/cancel_request.hpp"

#include "api/job_keys.hpp"

namespace hitchfront::core {
using Rank = StoreClient::Rank;
using telemetry::Refusal;
namespace {
constexpr int kAttempts = 8;  // the leader writes a job's record a few times a second at most
}  // namespace

void CancelRequest::start(Ms now, JobApiContext& context, std::uint64_t request,
                          const std::string& id) {
  const std::shared_ptr<CancelRequest> cancel(new CancelRequest(context, request, id));
  if (!wire::valid_job_id(id)) return cancel->respond(404, wire::error_body("no such job"));
  cancel->attempt(now);
}

void CancelRequest::attempt(Ms now) {
  if (attempts_ >= kAttempts) return refuse(Refusal::again);
  if (context_.store.unreachable(now)) return refuse(Refusal::store);
  const bool known = context_.records.replica().contains(id_);
  context_.records.look_up(now, id_,
                           [cancel = self<CancelRequest>(), known](Ms t, const FoundJob& found) {
                             if (found.failed) return cancel->refuse(Refusal::store);
                             if (!found.exists()) return cancel->respond_unknown(t, known);
                             if (found.outcome || found.cancelled())
                               return cancel->respond_found(t, found);
                             cancel->store(t, found);
                           });
}

// Cancelled and done race by the record's version: one wins, and the other response follows it.
void CancelRequest::store(Ms now, const FoundJob& found) {
  auto record = *found.unfinished;
  record.cancelled = true;
  std::vector<std::string> known_type_names;
  for (const auto& type : context_.types) known_type_names.push_back(type.name);
  wire::Txn txn;
  txn.if_version(unfinished_key(id_), found.version)
      .put(unfinished_key(id_),
           wire::encode_within(record, context_.platform.store.value_bytes(), known_type_names));
  context_.store.commit(
      now, Rank::user, txn,
      [cancel = self<CancelRequest>(), record](Ms t, int status, std::string_view) {
        cancel->stored(t, record, status);
      });
}

void CancelRequest::stored(Ms now, const wire::UnfinishedJob& record, int status) {
  if (status == 409) {
    ++attempts_;
    return attempt(now);
  }
  if (status != 200) return refuse(Refusal::store);
  context_.records.publish_unfinished(id_, record);
  context_.records.remember_outcome(id_, {true, 0});
  respond_cancelled_status(now);
}

}  // namespace hitchfront::core
