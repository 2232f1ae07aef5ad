#include "api/job_records.hpp"

#include <utility>

#include "api/job_keys.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using Rank = StoreClient::Rank;

JobRecords::JobRecords(StoreClient& store, recovery::StateReplica& replica, JobApiHost& host)
    : store_(store), replica_(replica), host_(host) {}

// Reads the unfinished job's key before the outcome's key. A job only ever moves from the first to
// the second, so it cannot be missed between the two reads.
void JobRecords::look_up(Ms now, const std::string& id, OnLookup on_lookup) {
  if (const auto record = known_outcome(id)) {
    JobLookup lookup;
    lookup.outcome = *record;
    return on_lookup(now, lookup);
  }
  const auto on_outcome = [this, id, on_lookup](Ms t, int status, std::string_view body) {
    on_lookup(t, process_outcome(id, status, body));
  };
  store_.get(now, Rank::user, unfinished_key(id),
             [this, id, on_lookup, on_outcome](Ms t, int status, std::string_view body) {
               if (status == 200) return on_lookup(t, process_unfinished(id, body));
               if (status == 404) return store_.get(t, Rank::user, outcome_key(id), on_outcome);
               JobLookup lookup;
               lookup.failed = true;
               on_lookup(t, lookup);
             });
}

JobLookup JobRecords::process_unfinished(const std::string& id, std::string_view body) {
  JobLookup lookup;
  if (const auto item = wire::parse_item(body)) {
    lookup.unfinished = wire::decode_unfinished_job(item->value);
    lookup.version = item->version;
  }
  lookup.failed = !lookup.unfinished;
  if (lookup.unfinished && lookup.unfinished->cancelled) {
    cache_outcome(id, {true, 0});
    publish_unfinished(id, *lookup.unfinished);
  }
  return lookup;
}

JobLookup JobRecords::process_outcome(const std::string& id, int status, std::string_view body) {
  JobLookup lookup;
  if (status == 404) return lookup;
  if (status == 200)
    if (const auto item = wire::parse_item(body))
      lookup.outcome = wire::decode_job_outcome(item->value);
  lookup.failed = !lookup.outcome;
  if (lookup.outcome) {
    cache_outcome(id, *lookup.outcome);
    publish_outcome(id, *lookup.outcome);
  }
  return lookup;
}

std::optional<wire::JobOutcome> JobRecords::known_outcome(const std::string& id) const {
  const auto it = cached_outcomes_.find(id);
  return it != cached_outcomes_.end() ? std::optional(it->second) : replica_.outcome_of(id);
}

bool JobRecords::is_known_cancelled(const std::string& id) const {
  const auto outcome = known_outcome(id);
  return outcome ? outcome->cancelled : replica_.is_cancelled(id);
}

void JobRecords::cache_outcome(const std::string& id, wire::JobOutcome record) {
  if (!cached_outcomes_.emplace(id, record).second) return;
  cached_outcome_order_.push_back(id);
  if (cached_outcome_order_.size() > settings::kMaxCachedOutcomes) {
    cached_outcomes_.erase(cached_outcome_order_.front());
    cached_outcome_order_.pop_front();
  }
}

void JobRecords::publish_unfinished(const std::string& id, const wire::UnfinishedJob& record) {
  const auto text = wire::encode(record);
  replica_.add_unfinished(id, text, record.cancelled, record.launch_watermark);
  recovery::StateReplica update(1);
  update.add_unfinished(id, text, record.cancelled, record.launch_watermark);
  host_.publish(update);
}

void JobRecords::publish_outcome(const std::string& id, const wire::JobOutcome& record) {
  if (replica_.outcome_of(id)) return;
  replica_.add_outcome(id, record);
  recovery::StateReplica update(1);
  update.add_outcome(id, record);
  host_.publish(update);
}

void JobRecords::on_record_read(const std::string& id, const nlohmann::json& value,
                                const wire::UnfinishedJob& record, std::uint64_t version) {
  replica_.add_unfinished(id, value.dump(), record.cancelled, record.launch_watermark);
  host_.on_record_read(unfinished_key(id), version);
}

}  // namespace hitchfront::core
