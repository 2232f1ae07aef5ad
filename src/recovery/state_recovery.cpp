#include "recovery/state_recovery.hpp"

#include <algorithm>

#include "api/job_api.hpp"
#include "settings/constants.hpp"
#include "wire/progress.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {
constexpr const char* kPrefixes[] = {"live/", "prog/", "over/"};
std::string progress_key(const std::string& job, std::uint32_t chunk) {
  return "prog/" + job + "/" + std::to_string(chunk);
}
}  // namespace

StateRecovery::StateRecovery(Outbox& out, StoreClient& store, FeatureLevelGate& feature_levels,
                             const recovery::StateReplica& own, const Platform& platform,
                             std::uint64_t term, std::uint64_t leader_version, OnDone done)
    : out_(out),
      store_(store),
      feature_levels_(feature_levels),
      platform_(platform),
      term_(term),
      leader_version_(leader_version),
      done_(std::move(done)),
      merged_(kReplicaOutcomes) {
  merged_.join(own);
}

void StateRecovery::start(Ms now) {
  began_ = now;
  for (const auto& [node, m] : feature_levels_.members().all()) from_[node];
  tick(now);
  load(now, 0, "");
}

void StateRecovery::tick(Ms now) {
  if (gathering_) {
    if (now >= retry_at_) {
      retry_at_ = now + kPeerHeartbeatMs;
      for (const auto& [node, f] : from_) {
        const auto* m = feature_levels_.members().find(node);
        if (f.whole() || m == nullptr || !m->said || m->said->to < kDataLossLevel) continue;
        wire::PeerMessage ask;
        ask.kind = wire::PeerMessage::Kind::replica_request;
        ask.id = term_;
        out_.peer(node, wire::encode(ask));
      }
    }
    const bool any = std::any_of(from_.begin(), from_.end(),
                                 [&](const auto& f) { return awaited(now, f.first, f.second); });
    if (loaded_ && (!any || now - began_ >= kGatherMs)) gathered(now);
    return;
  }
  if (!writing_ && now >= retry_at_) write(now);
}

// One that is there and keeps no copy is not waited for: an earlier version beside a loss made it
// longer by 5 s.
bool StateRecovery::awaited(Ms now, const std::string& node, const From& from) const {
  return !from.whole() &&
         !(feature_levels_.members().up(now, node) && feature_levels_.ignores_data_loss(node));
}

// A write that is refused for the leader's key will be for good. One that is refused again and
// again for anything else has a cause that this process does not see; a new leader reads everything
// anew.
bool StateRecovery::abandoned(Ms now, int status, std::string_view body) {
  if (status != 409) return false;
  const bool led = body.find("\"leader\"") == std::string_view::npos;
  if (led && ++refused_ < kRecoveryTries) return false;
  out_.log(Event::recovery_abandoned, led ? "refused again and again" : "another leads",
           std::string(body.substr(0, 100)));
  if (on_deposed) on_deposed(now);
  return true;
}

void StateRecovery::part(Ms now, const std::string& node, const wire::PeerMessage& m) {
  const auto it = from_.find(node);
  if (!gathering_ || m.id != term_ || it == from_.end() || m.a >= m.b) return;
  if (m.a == 0) {
    const auto level = wire::decode_level(nlohmann::json::parse(m.text, nullptr, false));
    if (level) feature_levels_.knew(*level);
  } else if (!merged_.join(m.text)) {
    return;  // asked for again
  }
  it->second.of = m.b;
  it->second.got.insert(m.a);
  tick(now);
}

void StateRecovery::load(Ms now, std::size_t prefix, std::string after) {
  store_.range(now, Rank::lease, kPrefixes[prefix], after,
               mine([this, prefix, after](Ms t, int status, std::string_view body) {
                 auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
                 if (!page) return load(t, prefix, after);
                 for (auto& i : page->items) {
                   const auto id = i.key.substr(5);
                   if (prefix == 0) {
                     if (const auto record = wire::decode_unfinished_job(i.value))
                       merged_.add_unfinished(id, i.value.dump(), record->cancelled,
                                              record->launch_watermark);
                   } else if (prefix == 2) {
                     if (const auto record = wire::decode_job_outcome(i.value))
                       merged_.add_outcome(id, *record);
                   } else if (const auto k = parse_progress_key(i.key); k && i.value.is_string()) {
                     recovery::StateReplica one(1);
                     one.progress(k->job, k->chunk, i.value.get<std::string>());
                     merged_.join(one);
                   }
                   stored_[i.key] = {i.version, i.value.dump()};
                 }
                 if (page->more && !page->items.empty())
                   return load(t, prefix, page->items.back().key);
                 if (prefix + 1 < std::size(kPrefixes)) return load(t, prefix + 1, "");
                 loaded_ = true;
                 tick(t);
               }));
}

// A version that heeds no loss may have led, and such a one tells nobody how far it launches: what
// the store lost of its marks is known from the copies' last reading alone, up to a second old.
bool StateRecovery::watermarks_unpublished() const {
  const auto& before = feature_levels_.known_level();
  return before.high < 2 && std::any_of(from_.begin(), from_.end(), [&](const auto& f) {
           const auto* m = feature_levels_.members().find(f.first);
           return m == nullptr || !m->said || m->said->to < kDataLossLevel;
         });
}

// What has to be written so that everything joined is stored, a job at a time. A leader tells the
// others a job's mark before it launches beyond it, so the highest that anybody knows says which
// tasks may be somewhere.
void StateRecovery::gathered(Ms now) {
  gathering_ = false;
  const auto missing =
      std::count_if(from_.begin(), from_.end(), [](const auto& f) { return !f.second.whole(); });
  out_.log(Event::state_gathered, from_.size() - static_cast<std::size_t>(missing) + 1, missing,
           merged_.unfinished().size(), merged_.outcomes().size());
  const auto put = [&](std::vector<Put>& puts, const std::string& key, const std::string& text) {
    const auto it = stored_.find(key);
    if (it == stored_.end() ? !text.empty() : it->second.text != text) puts.push_back({key, text});
  };
  for (const auto& [job, record] : merged_.outcomes()) {
    std::vector<Put> puts;
    // As it stands there, if it does: two that differ in the count alone say the same.
    const auto it = stored_.find(outcome_key(job));
    const auto there = it != stored_.end()
                           ? wire::decode_job_outcome(nlohmann::json::parse(it->second.text))
                           : std::nullopt;
    if (!there || there->cancelled != record.cancelled)
      puts.push_back({outcome_key(job), nlohmann::json::parse(wire::encode(record)).dump()});
    if (stored_.contains(unfinished_key(job))) puts.push_back({unfinished_key(job), {}});
    // A store that went back has its progress still, which nobody would ever drop, nor bring into
    // another form.
    const auto progress = "prog/" + job + "/";
    for (auto p = stored_.lower_bound(progress);
         p != stored_.end() && p->first.starts_with(progress); ++p)
      puts.push_back({p->first, {}});
    if (!puts.empty()) jobs_.push_back(std::move(puts));
  }
  const auto form = wire::progress_form(feature_levels_.recovered_level().active);
  const bool all_published = watermarks_unpublished();
  for (const auto& [job, u] : merged_.unfinished()) {
    auto record = wire::decode_unfinished_job(nlohmann::json::parse(u.record, nullptr, false));
    if (!record)
      continue;  // nothing but progress is known of it: it was never accepted, or is over
    record->cancelled = record->cancelled || u.cancelled;
    record->launch_watermark =
        all_published ? record->job.tasks : std::max(record->launch_watermark, u.launch_watermark);
    std::vector<Put> puts;
    put(puts, unfinished_key(job), nlohmann::json::parse(wire::encode(*record)).dump());
    for (const auto& [chunk, texts] : u.progress) {
      const auto from = static_cast<std::uint64_t>(chunk) * kChunkTasks;
      if (from >= record->job.tasks) continue;
      std::vector<bool> done(std::min<std::uint64_t>(kChunkTasks, record->job.tasks - from));
      for (const auto& text : texts)
        if (const auto p = wire::decode_progress(text, static_cast<std::uint32_t>(done.size())))
          for (const auto t : p->done) done[t] = true;
      put(puts, progress_key(job, chunk), nlohmann::json(wire::encode_progress(done, form)).dump());
    }
    if (!puts.empty()) jobs_.push_back(std::move(puts));
  }
  retry_at_ = 0;
  opening_ = true;
  write(now);
}

// First which forms may stand there, and a term that versions from before levels refuse, still of
// the lost generation.
void StateRecovery::open(Ms now) {
  auto level = feature_levels_.recovered_level();
  --level.generation;
  level.term = term_;
  if (feature_levels_.level().low <= level.low && feature_levels_.level().high == level.high &&
      feature_levels_.level().generation == level.generation) {
    opening_ = false;
    return write(now);
  }
  put_level(now, level, [this](Ms t) {
    opening_ = false;
    write(t);
  });
}

void StateRecovery::put_level(Ms now, const wire::FeatureLevel& level, OnDone done) {
  wire::Txn txn;
  txn.if_version("leader", leader_version_)
      .put("level", wire::encode(level))
      .put("term", wire::encode_term(term_, level));
  writing_ = true;
  store_.commit(
      now, Rank::lease, txn,
      mine([this, level, done = std::move(done)](Ms t, int status, std::string_view body) {
        writing_ = false;
        if (const auto revision = status == 200 ? wire::parse_revision(body) : std::nullopt) {
          feature_levels_.adopt_recovered(t, level, *revision);
          return done(t);
        }
        if (abandoned(t, status, body)) return;
        retry_at_ = t + kStoreRetryMs;
      }));
}

void StateRecovery::write(Ms now) {
  if (opening_) return open(now);
  if (jobs_.empty()) return finish(now);
  wire::Txn txn;
  txn.if_version("leader", leader_version_);
  std::size_t bytes = 0, jobs = 0;
  std::vector<Put> puts;
  while (jobs < jobs_.size() && bytes < kRecoveryBatch) {
    const auto& job = jobs_[jobs];
    if (!puts.empty() &&
        puts.size() + job.size() > static_cast<std::size_t>(platform_.store.transaction_changes))
      break;
    for (const auto& p : job) {
      if (puts.size() >= static_cast<std::size_t>(platform_.store.transaction_changes))
        break;  // a job of many chunks: the rest follows
      // A controller that knows of no loss may have written there meanwhile.
      const auto it = stored_.find(p.key);
      txn.if_version(p.key, it == stored_.end() ? 0 : it->second.version);
      if (p.text.empty())
        txn.drop(p.key);
      else
        txn.put(p.key, p.text);
      bytes += p.key.size() + p.text.size();
      puts.push_back(p);
    }
    ++jobs;
  }
  writing_ = true;
  store_.commit(now, Rank::lease, txn,
                mine([this, puts = std::move(puts), jobs](Ms t, int status, std::string_view body) {
                  writing_ = false;
                  const auto revision = status == 200 ? wire::parse_revision(body) : std::nullopt;
                  if (!revision) {
                    // Refused, or nobody knows: what stands there is read again, and what is
                    // missing then is worked out anew.
                    if (abandoned(t, status, body)) return;
                    retry_at_ = t + kStoreRetryMs;
                    if (status == 409 || status == 0) {
                      jobs_.clear();
                      stored_.clear();
                      gathering_ = true;
                      loaded_ = false;
                      load(t, 0, "");
                    }
                    return;
                  }
                  for (const auto& p : puts) {
                    if (p.text.empty())
                      stored_.erase(p.key);
                    else
                      stored_[p.key] = {*revision, p.text};
                  }
                  refused_ = 0;
                  written_ += puts.size();
                  std::size_t left = puts.size();
                  for (std::size_t i = 0; i < jobs; ++i) {
                    auto& job = jobs_.front();
                    const auto n = std::min(left, job.size());
                    left -= n;
                    job.erase(job.begin(), job.begin() + static_cast<std::ptrdiff_t>(n));
                    if (!job.empty()) break;
                    jobs_.pop_front();
                  }
                  write(t);
                }));
}

void StateRecovery::finish(Ms now) {
  auto level = feature_levels_.recovered_level();
  level.term = term_;
  put_level(now, level, [this, generation = level.generation](Ms t) {
    out_.log(Event::state_restored, generation, written_, static_cast<double>(t - began_) / 1000);
    done_(t);
  });
}

}  // namespace hitchfront::core
