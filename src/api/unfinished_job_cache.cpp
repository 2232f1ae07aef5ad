#include "api/unfinished_job_cache.hpp"

#include "settings/constants.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {
constexpr const char* kUnfinishedKeyPrefix = "live/";
constexpr std::size_t kUnfinishedKeyPrefixLength = 5;
}  // namespace

void UnfinishedJobCache::query(Ms now, std::string id, OnJobRead on_job_read) {
  queued_polls_.emplace_back(std::move(id), std::move(on_job_read));
  read_if_due(now);
}

void UnfinishedJobCache::read_if_due(Ms now) {
  if (read_in_progress_ || queued_polls_.empty() || now < next_read_at_) return;
  read_in_progress_ = true;
  next_read_at_ = now + kUnfinishedJobReadIntervalMs;
  read_sent_at_ = now;
  in_flight_polls_ = std::exchange(queued_polls_, {});
  if (!loaded_) {
    jobs_.clear();
    revision_ = 0;
    return load_page(now, "");
  }
  // A watch with a wait of 0 returns at once, with all changes since the cached revision, as of
  // some instant after it was sent.
  store_.call(now, Rank::user, Method::get, wire::watch_path(kUnfinishedKeyPrefix, revision_, 0),
              {}, [this, epoch = read_epoch_](Ms received_at, int status, std::string_view body) {
                auto page =
                    status == 200 && epoch == read_epoch_ ? wire::parse_watch(body) : std::nullopt;
                if (page) {
                  for (const auto& event : page->events)
                    apply(event.key, event.deleted, event.value, event.version);
                  revision_ = std::max(revision_, page->revision);
                  return complete_read(received_at, true);
                }
                if (status == 410) {
                  // The store no longer has all changes since the cached revision: reload.
                  loaded_ = false;
                  jobs_.clear();
                  revision_ = 0;
                  return load_page(received_at, "");
                }
                complete_read(received_at, false);
              });
}

// Changes made while the pages are being read are returned again by the first watch, which starts
// from the first page's revision.
void UnfinishedJobCache::load_page(Ms now, const std::string& after) {
  store_.range(now, Rank::user, kUnfinishedKeyPrefix, after,
               [this, epoch = read_epoch_](Ms t, int status, std::string_view body) {
                 auto page =
                     status == 200 && epoch == read_epoch_ ? wire::parse_page(body) : std::nullopt;
                 if (!page) return complete_read(t, false);
                 if (revision_ == 0) revision_ = page->revision;
                 for (const auto& item : page->items)
                   apply(item.key, false, item.value, item.version);
                 if (page->more && !page->items.empty())
                   return load_page(t, page->items.back().key);
                 loaded_ = true;
                 complete_read(t, true);
               });
}

void UnfinishedJobCache::apply(const std::string& key, bool deleted, const nlohmann::json& value,
                               std::uint64_t version) {
  if (key.size() <= kUnfinishedKeyPrefixLength) return;
  const auto id = key.substr(kUnfinishedKeyPrefixLength);
  const auto it = jobs_.find(id);
  if (it != jobs_.end() && it->second.version >= version)
    return;  // already applied from a page that was read later
  if (deleted) {
    if (it != jobs_.end()) jobs_.erase(it);
    if (on_outcome) on_outcome(id);
    return;
  }
  // A job whose record cannot be decoded still exists, and must not be reported as unknown.
  const auto record = wire::decode_unfinished_job(value);
  jobs_[id] = {record && record->cancelled, record && record->launch_watermark > 0,
               record && record->launch_watermark > kInitialLaunchWatermark, version,
               record ? record->job.dependencies : std::vector<std::string>{}};
  if (on_record && record) on_record(id, value, *record, version);
}

const UnfinishedJobCache::Job* UnfinishedJobCache::find(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

void UnfinishedJobCache::invalidate() {
  ++read_epoch_;
  loaded_ = false;
  jobs_.clear();
  revision_ = 0;
}

void UnfinishedJobCache::complete_read(Ms now, bool store_answered) {
  read_in_progress_ = false;
  if (store_answered && on_refreshed) on_refreshed(read_sent_at_);
  // While the store is unreachable, fail the queued polls as well rather than send another read for
  // them: users time out after 2 s.
  if (!store_answered && store_.unreachable(now)) {
    for (auto& poll : queued_polls_) in_flight_polls_.push_back(std::move(poll));
    queued_polls_.clear();
  }
  for (auto& [id, on_job_read] : std::exchange(in_flight_polls_, {})) {
    const auto it = jobs_.find(id);
    on_job_read(now, store_answered, it == jobs_.end() ? nullptr : &it->second);
  }
  read_if_due(now);
}

}  // namespace hitchfront::core
