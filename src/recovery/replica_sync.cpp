#include "recovery/replica_sync.hpp"

#include "settings/constants.hpp"
#include "wire/http_status.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using wire::kJobOutcomePrefix;
using wire::kJobProgressPrefix;
using wire::http_status::kGone;
using wire::http_status::kNotFound;
using wire::http_status::kOk;

ReplicaSync::ReplicaSync(StoreClient& store) : store_(store), replica_(kMaxReplicaOutcomes) {
  readings_[0].prefix = kJobProgressPrefix;
  readings_[1].prefix = kJobOutcomePrefix;
}

void ReplicaSync::tick(Ms now) {
  for (auto& reading : readings_)
    if (!reading.open && now >= reading.next) read(now, reading);
  verify_newest(now);
}

// ---- contradictions

// A store that went back a little and was written to since gives no revision below one that was
// seen. But a key's version never falls, and final states are never removed.
void ReplicaSync::verify_newest(Ms now) {
  if (now < verify_at_) return;
  verify_at_ = now + kReplicaSyncIntervalMs;
  verify(now, newest_outcome_, Removal::never);
  verify(now, newest_other_, Removal::possible);
}

void ReplicaSync::verify(Ms now, NewestKey& newest, Removal removal) {
  if (newest.open || newest.key.empty()) return;
  newest.open = true;
  store_.get(now, Rank::low, newest.key,
             [this, &newest, removal, known = newest.version, epoch = epoch_](
                 Ms t, int status, std::string_view body) {
               if (epoch != epoch_) return;
               newest.open = false;
               const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
               const bool older = item && item->version < known;
               const bool gone = status == kNotFound && removal == Removal::never;
               if ((older || gone) && on_contradiction) on_contradiction(t);
             });
}

void ReplicaSync::saw(const std::string& key, std::uint64_t version) {
  auto& newest = key.starts_with(kJobOutcomePrefix) ? newest_outcome_ : newest_other_;
  if (version < newest.version) return;
  newest.key = key;
  newest.version = version;
}

void ReplicaSync::forget() {
  ++epoch_;
  newest_outcome_ = newest_other_ = {};
  for (auto& reading : readings_) {
    reading.restart();
    reading.open = false;
  }
}

// ---- readings

void ReplicaSync::Reading::restart() {
  loaded = false;
  revision = 0;
  after.clear();
}

void ReplicaSync::read(Ms now, Reading& reading) {
  reading.open = true;
  reading.next = now + kReplicaSyncIntervalMs;
  if (reading.loaded)
    read_changes(now, reading);
  else
    load_page(now, reading);
}

void ReplicaSync::read_changes(Ms now, Reading& reading) {
  constexpr std::uint32_t kNoWaitMs = 0;
  const auto path = wire::watch_path(reading.prefix, reading.revision, kNoWaitMs);
  store_.call(now, Rank::low, Method::get, path, {},
              [this, &reading, epoch = epoch_](Ms, int status, std::string_view body) {
                if (epoch != epoch_) return;
                reading.open = false;
                const auto page = status == kOk ? wire::parse_watch(body) : std::nullopt;
                if (status == kGone) reading.restart();
                if (!page) return;
                // What was removed stays until the job's final state comes: a record never goes
                // without one.
                for (const auto& event : page->events)
                  if (!event.deleted) merge(event.key, event.value, event.version);
                reading.revision = std::max(reading.revision, page->revision);
              });
}

// A page each tick at the most: a store with a million final states has five thousand, and users'
// polls come first.
void ReplicaSync::load_page(Ms now, Reading& reading) {
  store_.range(now, Rank::low, reading.prefix, reading.after,
               [this, &reading, epoch = epoch_](Ms t, int status, std::string_view body) {
                 if (epoch != epoch_) return;
                 const auto page = status == kOk ? wire::parse_page(body) : std::nullopt;
                 reading.open = false;
                 if (!page) return;
                 if (reading.after.empty()) reading.revision = page->revision;
                 for (const auto& item : page->items) merge(item.key, item.value, item.version);
                 reading.loaded = !page->more || page->items.empty();
                 reading.after = reading.loaded ? std::string() : page->items.back().key;
                 if (!reading.loaded) reading.next = t + kTickIntervalMs;
               });
}

void ReplicaSync::merge(const std::string& key, const nlohmann::json& value,
                        std::uint64_t version) {
  saw(key, version);
  if (key.starts_with(kJobOutcomePrefix)) {
    if (const auto outcome = wire::decode_job_outcome(value))
      replica_.add_outcome(key.substr(kJobOutcomePrefix.size()), *outcome);
  } else if (const auto progress = wire::parse_progress_key(key); progress && value.is_string()) {
    replica_.set_progress(progress->job, progress->chunk, value.get<std::string>());
  }
}

}  // namespace hitchfront::core
