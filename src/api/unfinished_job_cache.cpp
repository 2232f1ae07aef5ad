#include "api/unfinished_job_cache.hpp"

#include "settings/constants.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {
constexpr const char* kPrefix = "live/";
constexpr std::size_t kPrefixLength = 5;
}  // namespace

void UnfinishedJobCache::ask(Ms now, std::string id, Answer answer) {
  waiting_.emplace_back(std::move(id), std::move(answer));
  read(now);
}

void UnfinishedJobCache::read(Ms now) {
  if (reading_ || waiting_.empty() || now < next_read_) return;
  reading_ = true;
  next_read_ = now + kUnfinishedJobReadIntervalMs;
  asked_ = now;
  covered_ = std::exchange(waiting_, {});
  if (!loaded_) {
    jobs_.clear();
    revision_ = 0;
    return load(now, "");
  }
  // A watch that holds for no time at all: every change since the copy's revision, as of a moment
  // after this was sent.
  store_.call(now, Rank::user, Method::get, wire::watch_path(kPrefix, revision_, 0), {},
              [this, epoch = epoch_](Ms t, int status, std::string_view body) {
                auto page =
                    status == 200 && epoch == epoch_ ? wire::parse_watch(body) : std::nullopt;
                if (page) {
                  for (const auto& e : page->events) apply(e.key, e.deleted, e.value, e.version);
                  revision_ = std::max(revision_, page->revision);
                  return answer(t, true);
                }
                if (status == 410) {
                  // Too far behind: the store no longer has all the changes. From the beginning,
                  // for the same polls.
                  loaded_ = false;
                  jobs_.clear();
                  revision_ = 0;
                  return load(t, "");
                }
                answer(t, false);
              });
}

// Changes made while the pages are read come again with the first watch from the first page's
// revision.
void UnfinishedJobCache::load(Ms now, const std::string& after) {
  store_.range(now, Rank::user, kPrefix, after,
               [this, epoch = epoch_](Ms t, int status, std::string_view body) {
                 auto page =
                     status == 200 && epoch == epoch_ ? wire::parse_page(body) : std::nullopt;
                 if (!page) return answer(t, false);
                 if (revision_ == 0) revision_ = page->revision;
                 for (const auto& i : page->items) apply(i.key, false, i.value, i.version);
                 if (page->more && !page->items.empty()) return load(t, page->items.back().key);
                 loaded_ = true;
                 answer(t, true);
               });
}

void UnfinishedJobCache::apply(const std::string& key, bool deleted, const nlohmann::json& value,
                               std::uint64_t version) {
  if (key.size() <= kPrefixLength) return;
  const auto id = key.substr(kPrefixLength);
  const auto it = jobs_.find(id);
  if (it != jobs_.end() && it->second.version >= version)
    return;  // a page that was read later had it
  if (deleted) {
    if (it != jobs_.end()) jobs_.erase(it);
    if (on_outcome) on_outcome(id);
    return;
  }
  // A record that can't be read is a job all the same, and must not be called unknown.
  const auto record = wire::decode_unfinished_job(value);
  jobs_[id] = {record && record->cancelled, record && record->launch_watermark > 0,
               record && record->launch_watermark > kInitialLaunchWatermark, version,
               record ? record->job.awaits : std::vector<std::string>{}};
  if (on_record && record) on_record(id, value, *record, version);
}

const UnfinishedJobCache::Job* UnfinishedJobCache::find(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

void UnfinishedJobCache::forget() {
  ++epoch_;
  loaded_ = false;
  jobs_.clear();
  revision_ = 0;
}

void UnfinishedJobCache::answer(Ms now, bool known) {
  reading_ = false;
  if (known && on_read_all) on_read_all(asked_);
  // Nobody is to wait for a second read that is not answered either: users wait 2 s.
  if (!known && store_.unreachable(now)) {
    for (auto& poll : waiting_) covered_.push_back(std::move(poll));
    waiting_.clear();
  }
  for (auto& [id, deliver] : std::exchange(covered_, {})) {
    const auto it = jobs_.find(id);
    deliver(now, known, it == jobs_.end() ? nullptr : &it->second);
  }
  read(now);
}

}  // namespace hitchfront::core
