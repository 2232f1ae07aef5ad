#include "api/job_records.hpp"

#include <utility>

#include "api/job_keys.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using Rank = StoreClient::Rank;

JobRecords::JobRecords(StoreClient& store, recovery::StateReplica& replica, JobApiHost& host)
    : store_(store), replica_(replica), host_(host) {}

// The unfinished record first, then the final one: records only move that way, so that a job can't
// slip through between the two.
void JobRecords::look_up(Ms now, const std::string& id, OnFound on_found) {
  if (const auto record = known_outcome(id)) {
    FoundJob found;
    found.outcome = *record;
    return on_found(now, found);
  }
  const auto on_outcome = [this, id, on_found](Ms t, int status, std::string_view body) {
    on_found(t, outcome_from(id, status, body));
  };
  store_.get(now, Rank::user, unfinished_key(id),
             [this, id, on_found, on_outcome](Ms t, int status, std::string_view body) {
               if (status == 200) return on_found(t, unfinished_from(id, body));
               if (status == 404) return store_.get(t, Rank::user, outcome_key(id), on_outcome);
               FoundJob found;
               found.failed = true;
               on_found(t, found);
             });
}

FoundJob JobRecords::unfinished_from(const std::string& id, std::string_view body) {
  FoundJob found;
  if (const auto item = wire::parse_item(body)) {
    found.unfinished = wire::decode_unfinished_job(item->value);
    found.version = item->version;
  }
  found.failed = !found.unfinished;
  if (found.unfinished && found.unfinished->cancelled) {
    remember_outcome(id, {true, 0});
    publish_unfinished(id, *found.unfinished);
  }
  return found;
}

FoundJob JobRecords::outcome_from(const std::string& id, int status, std::string_view body) {
  FoundJob found;
  if (status == 404) return found;
  if (status == 200)
    if (const auto item = wire::parse_item(body))
      found.outcome = wire::decode_job_outcome(item->value);
  found.failed = !found.outcome;
  if (found.outcome) {
    remember_outcome(id, *found.outcome);
    publish_outcome(id, *found.outcome);
  }
  return found;
}

std::optional<wire::JobOutcome> JobRecords::known_outcome(const std::string& id) const {
  const auto it = outcomes_.find(id);
  return it != outcomes_.end() ? std::optional(it->second) : replica_.outcome_of(id);
}

bool JobRecords::is_known_cancelled(const std::string& id) const {
  const auto outcome = known_outcome(id);
  return outcome ? outcome->cancelled : replica_.is_cancelled(id);
}

void JobRecords::remember_outcome(const std::string& id, wire::JobOutcome record) {
  if (!outcomes_.emplace(id, record).second) return;
  outcome_order_.push_back(id);
  if (outcome_order_.size() > settings::kMaxCachedOutcomes) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
}

void JobRecords::publish_unfinished(const std::string& id, const wire::UnfinishedJob& record) {
  const auto text = wire::encode(record);
  replica_.add_unfinished(id, text, record.cancelled, record.launch_watermark);
  recovery::StateReplica published(1);
  published.add_unfinished(id, text, record.cancelled, record.launch_watermark);
  host_.publish(published);
}

void JobRecords::publish_outcome(const std::string& id, const wire::JobOutcome& record) {
  if (replica_.outcome_of(id)) return;
  replica_.add_outcome(id, record);
  recovery::StateReplica published(1);
  published.add_outcome(id, record);
  host_.publish(published);
}

void JobRecords::record_read(const std::string& id, const nlohmann::json& value,
                             const wire::UnfinishedJob& record, std::uint64_t stamp) {
  replica_.add_unfinished(id, value.dump(), record.cancelled, record.launch_watermark);
  host_.record_read(unfinished_key(id), stamp);
}

}  // namespace hitchfront::core
