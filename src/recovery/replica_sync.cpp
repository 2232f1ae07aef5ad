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
  readers_[0].prefix = kJobProgressPrefix;
  readers_[1].prefix = kJobOutcomePrefix;
}

void ReplicaSync::tick(Ms now) {
  for (auto& reader : readers_)
    if (!reader.request_pending && now >= reader.next_read_at) read(now, reader);
  verify_newest(now);
}

// --- data loss detection ---

// A store that was rolled back slightly and has been written to since may not return a revision
// below a known one. Re-reading the newest keys detects this: a key's version never decreases, and
// outcomes are never deleted.
void ReplicaSync::verify_newest(Ms now) {
  if (now < next_verify_at_) return;
  next_verify_at_ = now + kReplicaSyncIntervalMs;
  verify(now, newest_outcome_, Removal::never);
  verify(now, newest_other_, Removal::possible);
}

void ReplicaSync::verify(Ms now, NewestKey& newest, Removal removal) {
  if (newest.request_pending || newest.key.empty()) return;
  newest.request_pending = true;
  store_.get(now, Rank::low, newest.key,
             [this, &newest, removal, known_version = newest.version, epoch = epoch_](
                 Ms received_at, int status, std::string_view body) {
               if (epoch != epoch_) return;
               newest.request_pending = false;
               const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
               const bool rolled_back = item && item->version < known_version;
               const bool deleted = status == kNotFound && removal == Removal::never;
               if ((rolled_back || deleted) && on_data_loss_detected)
                 on_data_loss_detected(received_at);
             });
}

void ReplicaSync::record_version(const std::string& key, std::uint64_t version) {
  auto& newest = key.starts_with(kJobOutcomePrefix) ? newest_outcome_ : newest_other_;
  if (version < newest.version) return;
  newest.key = key;
  newest.version = version;
}

void ReplicaSync::restart() {
  ++epoch_;
  newest_outcome_ = newest_other_ = {};
  for (auto& reader : readers_) {
    reader.restart();
    reader.request_pending = false;
  }
}

// --- reads ---

void ReplicaSync::PrefixReader::restart() {
  loaded = false;
  revision = 0;
  last_key.clear();
}

void ReplicaSync::read(Ms now, PrefixReader& reader) {
  reader.request_pending = true;
  reader.next_read_at = now + kReplicaSyncIntervalMs;
  if (reader.loaded)
    read_changes(now, reader);
  else
    load_page(now, reader);
}

void ReplicaSync::read_changes(Ms now, PrefixReader& reader) {
  constexpr std::uint32_t kNoWaitMs = 0;
  const auto path = wire::watch_path(reader.prefix, reader.revision, kNoWaitMs);
  store_.call(now, Rank::low, Method::get, path, {},
              [this, &reader, epoch = epoch_](Ms, int status, std::string_view body) {
                if (epoch != epoch_) return;
                reader.request_pending = false;
                const auto page = status == kOk ? wire::parse_watch(body) : std::nullopt;
                if (status == kGone) reader.restart();
                if (!page) return;
                // Deletions are ignored: a job's progress is deleted only when its outcome is
                // stored, and the outcome replaces the job in the replica.
                for (const auto& event : page->events)
                  if (!event.deleted) apply(event.key, event.value, event.version);
                reader.revision = std::max(reader.revision, page->revision);
              });
}

// Reads at most one page per tick, so that loading a large store leaves request rate for users'
// polls.
void ReplicaSync::load_page(Ms now, PrefixReader& reader) {
  store_.range(now, Rank::low, reader.prefix, reader.last_key,
               [this, &reader, epoch = epoch_](Ms received_at, int status, std::string_view body) {
                 if (epoch != epoch_) return;
                 const auto page = status == kOk ? wire::parse_page(body) : std::nullopt;
                 reader.request_pending = false;
                 if (!page) return;
                 if (reader.last_key.empty()) reader.revision = page->revision;
                 for (const auto& item : page->items) apply(item.key, item.value, item.version);
                 reader.loaded = !page->more || page->items.empty();
                 reader.last_key = reader.loaded ? std::string() : page->items.back().key;
                 if (!reader.loaded) reader.next_read_at = received_at + kTickIntervalMs;
               });
}

void ReplicaSync::apply(const std::string& key, const nlohmann::json& value,
                        std::uint64_t version) {
  record_version(key, version);
  if (key.starts_with(kJobOutcomePrefix)) {
    if (const auto outcome = wire::decode_job_outcome(value))
      replica_.add_outcome(key.substr(kJobOutcomePrefix.size()), *outcome);
  } else if (const auto progress = wire::parse_progress_key(key); progress && value.is_string()) {
    replica_.set_progress(progress->job, progress->chunk, value.get<std::string>());
  }
}

}  // namespace hitchfront::core
