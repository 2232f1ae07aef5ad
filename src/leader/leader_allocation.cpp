// The allocation log: every launch is in the store before it is in an answer. docs/safety.md, "The
// allocation log", has the argument.
#include <algorithm>

#include "leader/leader.hpp"
#include "leader/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {
constexpr const char* kAllocationPrefix = "roster/";
std::string chunk_key(std::uint32_t chunk) {
  return kAllocationPrefix + std::to_string(chunk);
}
}  // namespace

void Leader::load_allocations(Ms now, std::string after) {
  if (!allocation_log_enabled_) return loaded(now);
  store_.range(now, Rank::leader, kAllocationPrefix, after,
               mine([this, after](Ms t, int status, std::string_view body) {
                 auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
                 if (!page) return load_allocations(t, after);
                 for (auto& i : page->items) {
                   const auto chunk = static_cast<std::uint32_t>(std::strtoul(
                       i.key.c_str() + std::string_view(kAllocationPrefix).size(), nullptr, 10));
                   auto machines =
                       i.value.is_string()
                           ? wire::decode_allocations(i.value.get_ref<const std::string&>())
                           : std::nullopt;
                   if (!machines) {
                     // What stood there is not known: the old rule, from the store's point of view
                     // too, before anything is written.
                     log(Event::allocation_unreadable, i.key);
                     election_.mark_allocation_log_incomplete(t);
                     machines.emplace();
                   }
                   stored_chunks_.push_back({chunk, i.version, std::move(*machines)});
                 }
                 if (page->more && !page->items.empty())
                   return load_allocations(t, page->items.back().key);
                 loaded(t);
               }));
}

// What an earlier leader may have launched stands where the allocation log says, and counts as
// there: the same books as if this leader had launched it, with the same proofs that it is gone.
void Leader::restore_allocations(Ms now) {
  const auto stored = std::exchange(stored_chunks_, {});
  const bool whole = election_.allocation_log_complete();
  for (const auto& s : stored) {
    // One that is not whole tells nothing; its chunks are overwritten or dropped.
    allocation::Names names;
    if (whole)
      for (const auto& m : s.machines) names.insert(m.name);
    allocation_log_.load(s.chunk, s.version, names);
  }
  if (!whole) return;
  for (const auto& s : stored)
    for (const auto& r : s.machines) restore_machine(now, r);
}

void Leader::restore_machine(Ms now, const wire::MachineAllocation& r) {
  auto it = machines_.find(r.name);
  Machine* m =
      it != machines_.end() ? it->second.get() : add_machine(now, r.name, r.type, r.zone, r.spot);
  const bool unknown_type = m == nullptr;
  if (unknown_type) {
    unknown_type_machines_[r.name] = r;
  } else {
    m->recovered = m->recovered || r.up || !r.tasks.empty();
    m->lease_expires_at = reconciliation_ends_at_;
    m->born = std::min(now, r.born_s * 1000 - wall_minus_steady_);
  }
  for (const auto& g : r.tasks) {
    auto* job = find(g.job);
    if (job == nullptr) continue;
    for (const auto t : g.tasks) {
      if (t >= job->spec.tasks) continue;
      // Done, and still in the allocation log: most likely just ended there. But an earlier leader
      // may have launched it there by a command that is on its way, and until the machine has heard
      // of this term that counts.
      const bool done = job->phase[t] == TaskPhase::done;
      if (done && (!direct_launch_enabled_ || unknown_type)) continue;
      if (unknown_type) {
        if (job->phase[t] != TaskPhase::waiting) continue;
        job->set(t, TaskPhase::unknown);
        job->unreconciled.insert(t);
        count_team(*job, 1);
        continue;
      }
      if (m->tasks.contains({job->index, t})) continue;
      Placement p;
      p.since = now;
      p.stage = Stage::sent;
      p.recorded = true;
      p.stopping = job->cancelled;
      occupy(*m, *job, t, p);
      set_in_flight(m->tasks.at({job->index, t}), done);
      has_image(*m, job->image);  // a new leader knows no other
    }
  }
}

std::string Leader::encode_chunk(const allocation::Names& names, std::uint64_t batch) {
  wire::AllocationWriter w;
  std::vector<std::uint32_t> tasks;
  for (const auto& name : names) {
    const auto it = machines_.find(name);
    const auto unknown_type = unknown_type_machines_.find(name);
    if (it != machines_.end()) {
      auto& m = *it->second;
      w.machine(name, types_[static_cast<std::size_t>(m.type)].name,
                m.zone < 0 ? std::string() : zones_[static_cast<std::size_t>(m.zone)], m.spot,
                m.up || m.recovered, (m.born + wall_minus_steady_) / 1000);
      for (auto p = m.tasks.begin(); p != m.tasks.end();) {
        const auto job = p->first.first;
        const auto& id = p->second.job->spec.id;
        tasks.clear();
        for (; p != m.tasks.end() && p->first.first == job; ++p) {
          tasks.push_back(p->first.second);
          if (p->second.stage == Stage::assigned && !p->second.recorded)
            p->second.recorded_in_batch = batch;
        }
        w.tasks(job, id, tasks);
      }
    } else if (unknown_type != unknown_type_machines_.end()) {
      const auto& r = unknown_type->second;
      w.machine(name, r.type, r.zone, r.spot, r.up, r.born_s);
    } else {
      continue;
    }
    // What stood there before this machine's type was known, until its lease is over.
    if (unknown_type != unknown_type_machines_.end())
      for (const auto& g : unknown_type->second.tasks)
        if (const auto* job = find(g.job)) w.tasks(job->index, g.job, g.tasks);
  }
  return w.finish();
}

void Leader::write_allocations(Ms now) {
  if (!allocation_log_enabled_ || !loaded_ || !election_.leading() ||
      !election_.allocation_log_writable())
    return;
  reread_allocations(now);
  allocation_log_.set_rate(std::max(1.0, store_.write_rate() * kAllocationShare));
  progress_.set_rate(std::max(1.0, store_.write_rate() * kProgressShare),
                     std::max(1.0, store_.write_rate() * kProgressShare));
  while (auto batch = allocation_log_.next(
             now,
             [this](const allocation::Names& m, std::uint64_t b) { return encode_chunk(m, b); })) {
    wire::Txn txn;
    txn.if_version("leader", leader_version_);
    for (const auto& w : batch->writes) {
      txn.if_version(chunk_key(w.chunk), w.version);
      if (w.value.empty())
        txn.drop(chunk_key(w.chunk));
      else
        txn.put_text(chunk_key(w.chunk), w.value);
      out_.metrics().add(telemetry::Count::allocation_writes);
      out_.metrics().add(telemetry::Count::allocation_bytes, static_cast<double>(w.value.size()));
    }
    // Launches wait for it, and it has a rate of its own.
    store_.commit(
        now, Rank::lease, txn,
        mine([this, b = std::move(*batch)](Ms t, int status, std::string_view body) {
          if (const auto rev = status == 200 ? wire::parse_revision(body) : std::nullopt) {
            allocation_log_.stored(b, *rev);
            allocations_stored(t, b);
            return write_allocations(t);
          }
          // Refused, or nobody knows: a late arrival must not pass for a newer state than it is.
          for (const auto& w : b.writes) reread_at_[w.chunk] = t + kStoreRetryMs;
        }));
  }
}

void Leader::allocations_stored(Ms now, const allocation::AllocationLog::Batch& batch) {
  for (const auto& w : batch.writes)
    for (const auto& name : allocation_log_.machines(w.chunk)) {
      const auto it = machines_.find(name);
      if (it == machines_.end() || it->second->assigned == 0) continue;
      auto& m = *it->second;
      for (auto& [key, p] : m.tasks) {
        if (p.recorded_in_batch != batch.number || p.recorded) continue;
        p.recorded = true;
        out_.metrics().observe(telemetry::Histogram::record_s,
                               static_cast<double>(now - p.since) / 1000);
      }
      if (m.held)
        respond_if_needed(now, m, false);
      else
        launch_direct(now, m);
    }
  if (complete_after_batch_ != 0 && !marking_complete_ &&
      allocation_log_.stored_since(complete_after_batch_)) {
    marking_complete_ = true;
    election_.mark_allocation_log_complete(
        now, [this, alive = std::weak_ptr<int>(alive_)](Ms, bool stored) {
          if (!alive.lock()) return;
          marking_complete_ = false;
          if (!stored) return;  // again after the next batch
          complete_after_batch_ = 0;
          log(Event::allocation_log_complete, term_);
        });
  }
}

void Leader::reread_allocations(Ms now) {
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
                   allocation_log_.reread(t, chunk, item ? item->version : 0);
                 else
                   reread_at_[chunk] = t + kStoreRetryMs;
               }));
  }
}

// A takeover is over when every machine of the allocation log has spoken or is lost, and nothing
// else is unknown.
void Leader::reconcile(Ms now) {
  if (reconciled_ || !loaded_) return;
  const bool whole = election_.allocation_log_complete() && unknown_type_machines_.empty();
  if (!whole && reconciling_) return;
  if (std::any_of(fleet_.begin(), fleet_.end(),
                  [](const Machine* m) { return m->recovered && !m->lost && !m->tasks.empty(); }))
    return;
  reconciled_ = true;
  const double seconds = static_cast<double>(now - began_) / 1000;
  log(Event::takeover_reconciled, term_, seconds, silent_, unplaced_);
  out_.metrics().observe(telemetry::Histogram::reconcile_s, seconds);
  // Under an allocation log that was not whole, everything that runs has been found by now or is
  // over.
  if (allocation_log_enabled_ && !election_.allocation_log_complete()) {
    complete_after_batch_ = allocation_log_.last_batch();
    allocation_log_.all_changed(now);
  }
}

}  // namespace hitchfront::core
