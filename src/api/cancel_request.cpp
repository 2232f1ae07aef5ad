#include "api/cancel_request.hpp"

#include "api/job_keys.hpp"

namespace hitchfront::core {
using Rank = StoreClient::Rank;
using telemetry::Refusal;
namespace {
// Compare-and-swap attempts. Conflicts come from the leader's own writes to the record.
constexpr int kMaxAttempts = 8;
}  // namespace

void CancelRequest::start(Ms now, JobApiContext& context, std::uint64_t request,
                          const std::string& id) {
  const std::shared_ptr<CancelRequest> cancel(new CancelRequest(context, request, id));
  if (!wire::valid_job_id(id)) return cancel->respond(404, wire::error_body("no such job"));
  cancel->attempt(now);
}

void CancelRequest::attempt(Ms now) {
  if (attempts_ >= kMaxAttempts) return refuse(Refusal::try_again);
  if (context_.store.unreachable(now)) return refuse(Refusal::store);
  const bool was_known = context_.records.replica().contains(id_);
  context_.records.look_up(
      now, id_, [cancel = self<CancelRequest>(), was_known](Ms t, const JobLookup& lookup) {
        if (lookup.failed) return cancel->refuse(Refusal::store);
        if (!lookup.exists()) return cancel->respond_unknown(t, was_known);
        if (lookup.outcome || lookup.cancelled()) return cancel->respond_existing(t, lookup);
        cancel->store(t, lookup);
      });
}

// A cancellation and a completion race on the record's version: one of them is stored, and the
// cancellation's response reports whichever it was.
void CancelRequest::store(Ms now, const JobLookup& lookup) {
  auto record = *lookup.unfinished;
  record.cancelled = true;
  std::vector<std::string> known_type_names;
  for (const auto& type : context_.machine_types) known_type_names.push_back(type.name);
  wire::Txn txn;
  txn.if_version(unfinished_key(id_), lookup.version)
      .put(unfinished_key(id_),
           wire::encode_within(record, context_.platform.store.value_bytes(), known_type_names));
  context_.store.commit(
      now, Rank::user, txn,
      [cancel = self<CancelRequest>(), record](Ms t, int status, std::string_view) {
        cancel->on_stored(t, record, status);
      });
}

void CancelRequest::on_stored(Ms now, const wire::UnfinishedJob& record, int status) {
  if (status == 409) {
    ++attempts_;
    return attempt(now);
  }
  if (status != 200) return refuse(Refusal::store);
  context_.records.publish_unfinished(id_, record);
  context_.records.cache_outcome(id_, {true, 0});
  respond_cancelled_status(now);
}

}  // namespace hitchfront::core
