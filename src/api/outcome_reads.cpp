#include "api/outcome_reads.hpp"

#include <utility>

#include "api/job_keys.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {

bool OutcomeReads::is_full_for(const std::string& id) const {
  return pending_.size() >= settings::kMaxPendingPolls && !pending_.contains(id);
}

void OutcomeReads::read(Ms now, const std::string& id, bool was_known, OnRead on_read) {
  auto& pending = pending_[id];
  pending.push_back(std::move(on_read));
  if (pending.size() > 1) return;
  store_.get(now, StoreClient::Rank::low, outcome_key(id),
             [this, id, was_known](Ms t, int status, std::string_view body) {
               const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
               const auto record = item ? wire::decode_job_outcome(item->value) : std::nullopt;
               OutcomeRead read;
               read.was_known = was_known;
               if (record) {
                 records_.cache_outcome(id, *record);
                 records_.publish_outcome(id, *record);
                 read.result = OutcomeRead::Result::found;
                 read.outcome = *record;
               } else if (status == 404) {
                 read.result = OutcomeRead::Result::missing;
               }
               respond(t, id, read);
             });
}

void OutcomeReads::respond(Ms now, const std::string& id, const OutcomeRead& read) {
  const auto pending = pending_.extract(id);
  if (pending.empty()) return;
  for (const auto& on_read : pending.mapped()) on_read(now, read);
}

}  // namespace hitchfront::core
