#include "recovery/replica_sync.hpp"

#include <charconv>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {
constexpr std::string_view kProgressPrefix = "prog/", kOutcomePrefix = "over/";
}

std::optional<ProgressKey> parse_progress_key(const std::string& key) {
  const auto slash = key.rfind('/');
  if (!key.starts_with(kProgressPrefix) || slash < kProgressPrefix.size()) return std::nullopt;
  ProgressKey k{key.substr(kProgressPrefix.size(), slash - kProgressPrefix.size()), 0};
  const auto [end, ec] = std::from_chars(key.data() + slash + 1, key.data() + key.size(), k.chunk);
  return ec == std::errc() && end == key.data() + key.size() ? std::optional(std::move(k))
                                                             : std::nullopt;
}

ReplicaSync::ReplicaSync(StoreClient& store) : store_(store), replica_(kReplicaOutcomes) {
  readings_[0].prefix = kProgressPrefix;
  readings_[1].prefix = kOutcomePrefix;
}

void ReplicaSync::tick(Ms now) {
  for (auto& r : readings_)
    if (!r.open && now >= r.next) read(now, r);
  verify(now);
}

// A store that went back a little and was written to since tells no revision below one that was
// seen. But a key's stamp never falls, and final states are never deleted.
void ReplicaSync::verify(Ms now) {
  if (now < verify_at_) return;
  verify_at_ = now + kReplicaSyncMs;
  verify(now, outcomes_, true);
  verify(now, other_, false);
}

void ReplicaSync::verify(Ms now, Newest& newest, bool stays) {
  if (newest.open || newest.key.empty()) return;
  newest.open = true;
  store_.get(
      now, Rank::low, newest.key,
      [this, &newest, stays, known = newest.stamp, epoch = epoch_](Ms t, int status,
                                                                   std::string_view body) {
        if (epoch != epoch_) return;
        newest.open = false;
        const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
        if (((item && item->version < known) || (status == 404 && stays)) && on_contradiction)
          on_contradiction(t);
      });
}

void ReplicaSync::saw(const std::string& key, std::uint64_t stamp) {
  auto& newest = key.starts_with(kOutcomePrefix) ? outcomes_ : other_;
  if (stamp < newest.stamp) return;
  newest.key = key;
  newest.stamp = stamp;
}

void ReplicaSync::forget() {
  ++epoch_;
  outcomes_ = other_ = {};
  for (auto& r : readings_) {
    r.loaded = r.open = false;
    r.revision = 0;
    r.after.clear();
  }
}

void ReplicaSync::read(Ms now, Reading& r) {
  r.open = true;
  r.next = now + kReplicaSyncMs;
  if (!r.loaded) return load(now, r);
  store_.call(now, Rank::low, Method::get, wire::watch_path(r.prefix, r.revision, 0), {},
              [this, &r, epoch = epoch_](Ms, int status, std::string_view body) {
                if (epoch != epoch_) return;
                r.open = false;
                const auto page = status == 200 ? wire::parse_watch(body) : std::nullopt;
                if (status == 410) {
                  r.loaded = false;
                  r.revision = 0;
                  r.after.clear();
                }
                if (!page) return;
                // What was dropped stays until the job's final state comes: a record never goes
                // without one.
                for (const auto& e : page->events)
                  if (!e.deleted) take(e.key, e.value, e.version);
                r.revision = std::max(r.revision, page->revision);
              });
}

// A page each tick at the most: a store with a million final states has five thousand, and users'
// polls come first.
void ReplicaSync::load(Ms now, Reading& r) {
  store_.range(now, Rank::low, r.prefix, r.after,
               [this, &r, epoch = epoch_](Ms t, int status, std::string_view body) {
                 if (epoch != epoch_) return;
                 const auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
                 r.open = false;
                 if (!page) return;
                 if (r.after.empty()) r.revision = page->revision;
                 for (const auto& i : page->items) take(i.key, i.value, i.version);
                 r.loaded = !page->more || page->items.empty();
                 r.after = r.loaded ? std::string() : page->items.back().key;
                 if (!r.loaded) r.next = t + kTickMs;
               });
}

void ReplicaSync::take(const std::string& key, const nlohmann::json& value, std::uint64_t stamp) {
  saw(key, stamp);
  if (key.starts_with(kOutcomePrefix)) {
    if (const auto record = wire::decode_job_outcome(value))
      replica_.add_outcome(key.substr(kOutcomePrefix.size()), *record);
  } else if (auto k = parse_progress_key(key); k && value.is_string()) {
    replica_.progress(k->job, k->chunk, value.get<std::string>());
  }
}

}  // namespace hitchfront::core
