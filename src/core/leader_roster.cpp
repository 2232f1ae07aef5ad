// The roster: every launch is in the store before it is in an answer. docs/safety.md, "The roster",
// has the argument.
#include <algorithm>

#include "core/leader.hpp"
#include "core/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {
constexpr const char* kRosterPrefix = "roster/";
std::string chunk_key(std::uint32_t chunk) {
  return kRosterPrefix + std::to_string(chunk);
}
}  // namespace

void Leader::load_roster(Ms now, std::string after) {
  if (!roster_on_) return loaded(now);
  store_.range(now, Rank::leader, kRosterPrefix, after,
               mine([this, after](Ms t, int status, std::string_view body) {
                 auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
                 if (!page) return load_roster(t, after);
                 for (auto& i : page->items) {
                   const auto chunk = static_cast<std::uint32_t>(std::strtoul(
                       i.key.c_str() + std::string_view(kRosterPrefix).size(), nullptr, 10));
                   auto machines = i.value.is_string()
                                       ? wire::decode_roster(i.value.get_ref<const std::string&>())
                                       : std::nullopt;
                   if (!machines) {
                     // What stood there is not known: the old rule, from the store's point of view
                     // too, before anything is written.
                     log(Event::roster_unreadable, i.key);
                     leadership_.distrust_roster(t);
                     machines.emplace();
                   }
                   stored_roster_.push_back({chunk, i.version, std::move(*machines)});
                 }
                 if (page->more && !page->items.empty())
                   return load_roster(t, page->items.back().key);
                 loaded(t);
               }));
}

// What an earlier leader may have launched stands where the roster says, and counts as there: the
// same books as if this leader had launched it, with the same proofs that it is gone.
void Leader::take_roster(Ms now) {
  const auto stored = std::exchange(stored_roster_, {});
  const bool whole = leadership_.roster_whole();
  for (const auto& s : stored) {
    // One that is not whole tells nothing; its chunks are overwritten or dropped.
    roster::Names names;
    if (whole)
      for (const auto& m : s.machines) names.insert(m.name);
    roster_.load(s.chunk, s.version, names);
  }
  if (!whole) return;
  for (const auto& s : stored)
    for (const auto& r : s.machines) take_rostered(now, r);
}

void Leader::take_rostered(Ms now, const wire::RosterMachine& r) {
  auto it = machines_.find(r.name);
  Machine* m =
      it != machines_.end() ? it->second.get() : add_machine(now, r.name, r.type, r.zone, r.spot);
  const bool stranger = m == nullptr;
  if (stranger) {
    strangers_[r.name] = r;
  } else {
    m->rostered = m->rostered || r.up || !r.tasks.empty();
    m->lease_expires_at = doubt_over_;
    m->born = std::min(now, r.born_s * 1000 - wall_minus_steady_);
  }
  for (const auto& g : r.tasks) {
    auto* job = find(g.job);
    if (job == nullptr) continue;
    for (const auto t : g.tasks) {
      if (t >= job->spec.tasks) continue;
      // Done, and still in the roster: most likely just ended there. But an earlier leader may have
      // launched it there by a command that is on its way, and until the machine has heard of this
      // term that counts.
      const bool done = job->phase[t] == TaskPhase::done;
      if (done && (!direct_on_ || stranger)) continue;
      if (stranger) {
        if (job->phase[t] != TaskPhase::waiting) continue;
        job->set(t, TaskPhase::doubt);
        job->unsure.insert(t);
        count_team(*job, 1);
        continue;
      }
      if (m->tasks.contains({job->index, t})) continue;
      Placement p;
      p.since = now;
      p.stage = Stage::sent;
      p.booked = true;
      p.stopping = job->cancelled;
      occupy(*m, *job, t, p);
      set_in_flight(m->tasks.at({job->index, t}), done);
      has_image(*m, job->image);  // a new leader knows no other
    }
  }
}

std::string Leader::describe(const roster::Names& names, std::uint64_t batch) {
  wire::RosterWriter w;
  std::vector<std::uint32_t> tasks;
  for (const auto& name : names) {
    const auto it = machines_.find(name);
    const auto stranger = strangers_.find(name);
    if (it != machines_.end()) {
      auto& m = *it->second;
      w.machine(name, types_[static_cast<std::size_t>(m.type)].name,
                m.zone < 0 ? std::string() : zones_[static_cast<std::size_t>(m.zone)], m.spot,
                m.up || m.rostered, (m.born + wall_minus_steady_) / 1000);
      for (auto p = m.tasks.begin(); p != m.tasks.end();) {
        const auto job = p->first.first;
        const auto& id = p->second.job->spec.id;
        tasks.clear();
        for (; p != m.tasks.end() && p->first.first == job; ++p) {
          tasks.push_back(p->first.second);
          if (p->second.stage == Stage::assigned && !p->second.booked) p->second.booking = batch;
        }
        w.tasks(job, id, tasks);
      }
    } else if (stranger != strangers_.end()) {
      const auto& r = stranger->second;
      w.machine(name, r.type, r.zone, r.spot, r.up, r.born_s);
    } else {
      continue;
    }
    // What stood there before this machine's type was known, until its lease is over.
    if (stranger != strangers_.end())
      for (const auto& g : stranger->second.tasks)
        if (const auto* job = find(g.job)) w.tasks(job->index, g.job, g.tasks);
  }
  return w.finish();
}

void Leader::write_roster(Ms now) {
  if (!roster_on_ || !loaded_ || !leadership_.leading() || !leadership_.may_write_roster()) return;
  reread_roster(now);
  roster_.set_rate(std::max(1.0, store_.write_rate() * kRosterShare));
  progress_.set_rate(std::max(1.0, store_.write_rate() * kProgressShare),
                     std::max(1.0, store_.write_rate() * kProgressShare));
  while (auto batch = roster_.next(
             now, [this](const roster::Names& m, std::uint64_t b) { return describe(m, b); })) {
    wire::Txn txn;
    txn.if_version("leader", leader_version_);
    for (const auto& w : batch->writes) {
      txn.if_version(chunk_key(w.chunk), w.version);
      if (w.value.empty())
        txn.drop(chunk_key(w.chunk));
      else
        txn.put_text(chunk_key(w.chunk), w.value);
      out_.figures().add(telemetry::Count::roster_writes);
      out_.figures().add(telemetry::Count::roster_bytes, static_cast<double>(w.value.size()));
    }
    // Launches wait for it, and it has a rate of its own.
    store_.commit(
        now, Rank::lease, txn,
        mine([this, b = std::move(*batch)](Ms t, int status, std::string_view body) {
          if (const auto rev = status == 200 ? wire::parse_revision(body) : std::nullopt) {
            roster_.stored(b, *rev);
            roster_stored(t, b);
            return write_roster(t);
          }
          // Refused, or nobody knows: a late arrival must not pass for a newer state than it is.
          for (const auto& w : b.writes) reread_at_[w.chunk] = t + kStoreRetryMs;
        }));
  }
}

void Leader::roster_stored(Ms now, const roster::Roster::Batch& batch) {
  for (const auto& w : batch.writes)
    for (const auto& name : roster_.machines(w.chunk)) {
      const auto it = machines_.find(name);
      if (it == machines_.end() || it->second->assigned == 0) continue;
      auto& m = *it->second;
      for (auto& [key, p] : m.tasks) {
        if (p.booking != batch.number || p.booked) continue;
        p.booked = true;
        out_.figures().observe(telemetry::Spread::roster_s,
                               static_cast<double>(now - p.since) / 1000);
      }
      if (m.held)
        respond_if_needed(now, m, false);
      else
        launch_direct(now, m);
    }
  if (whole_after_ != 0 && !making_whole_ && roster_.stored_since(whole_after_)) {
    making_whole_ = true;
    leadership_.make_roster_whole(now, [this, alive = std::weak_ptr<int>(alive_)](Ms, bool stored) {
      if (!alive.lock()) return;
      making_whole_ = false;
      if (!stored) return;  // again after the next batch
      whole_after_ = 0;
      log(Event::roster_whole, term_);
    });
  }
}

void Leader::reread_roster(Ms now) {
  for (auto it = reread_at_.begin(); it != reread_at_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    const auto chunk = it->first;
    it = reread_at_.erase(it);
    store_.get(now, Rank::leader, chunk_key(chunk),
               mine([this, chunk](Ms t, int status, std::string_view body) {
                 const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
                 if (item || status == 404)
                   roster_.reread(t, chunk, item ? item->version : 0);
                 else
                   reread_at_[chunk] = t + kStoreRetryMs;
               }));
  }
}

// A takeover is over when every machine of the roster has spoken or is lost, and nothing else is in
// doubt.
void Leader::settle(Ms now) {
  if (settled_ || !loaded_) return;
  const bool whole = leadership_.roster_whole() && strangers_.empty();
  if (!whole && doubt_open_) return;
  if (std::any_of(fleet_.begin(), fleet_.end(),
                  [](const Machine* m) { return m->rostered && !m->lost && !m->tasks.empty(); }))
    return;
  settled_ = true;
  const double seconds = static_cast<double>(now - began_) / 1000;
  log(Event::takeover_settled, term_, seconds, silent_, nowhere_);
  out_.figures().observe(telemetry::Spread::doubt_s, seconds);
  // Under a roster that was not whole, everything that runs has been found by now or is over.
  if (roster_on_ && !leadership_.roster_whole()) {
    whole_after_ = roster_.last_batch();
    roster_.all_changed(now);
  }
}

}  // namespace hitchfront::core
