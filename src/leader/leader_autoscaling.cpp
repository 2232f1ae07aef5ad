#include <algorithm>
#include <cmath>

#include "leader/leader.hpp"
#include "leader/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Size;

void Leader::set_types(const std::vector<wire::MachineType>& types) {
  const bool first = types_.empty();
  // Indices stay: a type once known keeps its place, new ones are appended.
  for (const auto& t : types) {
    const int i = type_index(t.name);
    if (i >= 0)
      types_[static_cast<std::size_t>(i)] = t;
    else
      types_.push_back(t);
  }
  for (std::size_t i = 0; i < types_.size(); ++i)
    for (const auto& zone : types_[i].zones) {
      const int z = zone_index(zone);
      if (z < 0) continue;
      for (const bool spot : {true, false}) {
        const auto& t = types_[i];
        portfolio::Offer o;
        o.type = static_cast<int>(i);
        o.zone = z;
        o.spot = spot;
        o.size = {t.cpus, t.gpus, t.memory_gb};
        o.price = spot ? t.spot_price : t.price;
        o.boot_s = t.boot_s;
        o.fetch_gb_per_s = t.fetch_gb_per_s;
        auto it = std::find_if(offers_.begin(), offers_.end(), [&](const auto& x) {
          return x.type == o.type && x.zone == o.zone && x.spot == o.spot;
        });
        if (it != offers_.end()) {
          *it = o;
        } else {
          offers_.push_back(o);
          offer_blocked_.push_back(0);
        }
      }
    }
  for (auto& [id, job] : jobs_) resolve(*job);
  if (first) dirty_ = true;
}

Leader::Machine* Leader::add_machine(Ms now, const std::string& name, const std::string& type,
                                     const std::string& zone, bool spot) {
  const int t = type_index(type);
  if (t < 0) return nullptr;
  auto m = std::make_unique<Machine>();
  m->name = name;
  m->type = t;
  m->zone = zone_index(zone);
  m->spot = spot;
  const auto& mt = types_[static_cast<std::size_t>(t)];
  m->whole = m->free_capacity = {mt.cpus, mt.gpus, mt.memory_gb};
  m->born = m->idle_since = m->known = now;
  auto* p = m.get();
  machines_[name] = std::move(m);
  fleet_.push_back(p);
  if (allocation_log_enabled_) allocation_log_.add(now, name);
  return p;
}

void Leader::forget_machine(Ms now, const std::string& name) {
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  if (it->second->held) out_.reply(*it->second->held, 503, wire::error_body("machine returned"));
  failure_attribution_.forget_machine(name);
  if (allocation_log_enabled_) allocation_log_.remove(now, name);
  std::erase(fleet_, it->second.get());
  machines_.erase(it);
  if (tombstones_.insert(name).second) tombstone_order_.push_back(name);
  if (tombstone_order_.size() >
      std::max(kTombstones, static_cast<std::size_t>(platform_.max_connections))) {
    tombstones_.erase(tombstone_order_.front());
    tombstone_order_.pop_front();
  }
}

// Without this line a day on which nothing is rented does not tell why.
void Leader::cloud_answered(Ms now, int status, bool no_capacity) {
  const bool unavailable = (status != 200 && status != 400) && !no_capacity;
  if (unavailable == (cloud_down_since_ != 0)) return;
  if (unavailable)
    log(Event::cloud_down, status);
  else
    log(Event::cloud_up, static_cast<double>(now - cloud_down_since_) / 1000);
  cloud_down_since_ = unavailable ? now : 0;
}

std::string Leader::offer_text(int type, int zone, bool spot) const {
  return (type < 0 ? std::string("?") : types_[static_cast<std::size_t>(type)].name) + "/" +
         (zone < 0 ? std::string("?") : zones_[static_cast<std::size_t>(zone)]) +
         (spot ? "/spot" : "/ordinary");
}

bool Leader::can_call_cloud(Ms now) {
  if (!cloud_.can(now, 1)) return false;
  cloud_.take(1);
  return true;
}

void Leader::cloud_round(Ms now) {
  if (now < next_cloud_ || !loaded_ || types_.empty() || !can_act(now)) return;
  next_cloud_ = now + kCloudRoundMs;
  consolidate(now);
  scale_in(now);
  scale_out(now);
  if (now >= next_list_ && !listing_) {
    next_list_ = now + kListMs;
    listing_ = true;
    list(now, "");
  }
}

void Leader::scale_out(Ms now) {
  for (auto& r : scale_out_requests_)
    if (!r.in_flight && now >= r.retry_at) send_scale_out(now, r);
  auto s = snapshot(now);
  if (s.queue.empty()) return;
  const auto wanted = portfolio::scale_out_now(s, policy_, params_);
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    if (wanted[i] == 0) continue;
    for (auto left = wanted[i]; left > 0; left -= std::min(left, kScaleOutMost)) {
      scale_out_requests_.push_back(
          {"r-" + std::to_string(term_) + "-" + std::to_string(next_scale_out_++), i,
           std::min(left, kScaleOutMost), false, now});
      send_scale_out(now, scale_out_requests_.back());
    }
  }
}

// Rental calls that a round may make, so that returning and listing still have theirs. With one
// call for each offer a fleet of a thousand took half a minute to rent, and the dear offers were
// asked before the cheap ones had run out.
std::uint32_t Leader::scale_out_calls() const {
  const double calls =
      platform_.cloud_rps * kStoreShare * static_cast<double>(kCloudRoundMs) / 1000 -
      kOtherCloudCalls;
  return static_cast<std::uint32_t>(std::max(1.0, calls));
}

void Leader::send_scale_out(Ms now, ScaleOutRequest& r) {
  if (!can_call_cloud(now)) return;
  const auto& o = offers_[r.offer];
  r.in_flight = true;
  HttpCall c;
  c.target = Target::cloud;
  c.method = Method::post;
  c.path = "/machines";
  const auto& type = types_[static_cast<std::size_t>(o.type)].name;
  const auto& zone = zones_[static_cast<std::size_t>(o.zone)];
  c.body = wire::scale_out_request(r.name, type, zone, o.spot, r.count);
  c.timeout_ms = kCloudTimeoutMs;
  out_.call(std::move(c),
            mine([this, name = r.name, type, zone](Ms t, int status, std::string_view body) {
              auto it = std::find_if(scale_out_requests_.begin(), scale_out_requests_.end(),
                                     [&](const ScaleOutRequest& x) { return x.name == name; });
              if (it == scale_out_requests_.end()) return;
              it->in_flight = false;
              const bool no_capacity =
                  status == 503 && body.find("no capacity") != std::string_view::npos;
              cloud_answered(t, status, no_capacity);
              const auto& taken = offers_[it->offer];
              const auto offer = offer_text(taken.type, taken.zone, taken.spot);
              const bool spot = offers_[it->offer].spot;
              if (status == 200) {
                if (auto names = wire::parse_rented(body)) {
                  for (const auto& n : *names)
                    if (!machines_.contains(n) && !tombstones_.contains(n))
                      add_machine(t, n, type, zone, spot);
                  log(Event::machine_scaled_out, offer, it->count, names->size());
                  out_.metrics().add(telemetry::Count::scaled_out,
                                     static_cast<double>(names->size()));
                  // Partly filled: there is no more of it for now.
                  if (names->size() < it->count) offer_blocked_[it->offer] = t + kNoCapacityMs;
                }
                scale_out_requests_.erase(it);
              } else if (no_capacity) {
                offer_blocked_[it->offer] = t + kNoCapacityMs;
                log(Event::machine_refused, offer);
                scale_out_requests_.erase(it);
              } else if (status == 400) {
                log(Event::cloud_malformed, offer);
                offer_blocked_[it->offer] = t + kTypesMs;
                scale_out_requests_.erase(it);
              } else {
                // Unknown or refused for now: the same name again, so that nothing is rented twice.
                it->retry_at = t + kCloudRoundMs;
              }
            }));
}

// How long an idle machine is worth keeping: the cheaper it is next to the dearest of its type, the
// longer, for what would replace it may be the dear one, after a boot.
Ms Leader::keep_ms(const Machine& m) const {
  if (m.type < 0) return 0;
  const auto& t = types_[static_cast<std::size_t>(m.type)];
  const double ratio = m.spot && t.spot_price > 0 ? t.price / t.spot_price : 1;
  return static_cast<Ms>(kKeepS * 1000 * (ratio * ratio - 1));
}

// Nothing waits, and a dear machine is kept by a few tasks that can save: they move to machines
// that stay anyway. Tasks keep their progress but for the time to save. One machine at a time, or a
// small part of a large fleet: one a second would empty a fleet of hundreds long after its work is
// done.
void Leader::consolidate(Ms now) {
  for (const auto& [id, job] : jobs_)
    if (job->active() && job->waiting > 0 && !failure_attribution_.is_quarantined(job->index))
      return;
  // What is missing will wait too, when its leases are over: capacity is worth more than tidiness.
  const auto gone = std::count_if(fleet_.begin(), fleet_.end(),
                                  [&](const Machine* m) { return is_missing(now, *m); });
  if (static_cast<double>(gone) > static_cast<double>(fleet_.size()) * kMissedShare) return;
  struct Stay {
    Machine* machine;
    Size free_capacity;
  };
  std::vector<Stay> stay;
  std::vector<Machine*> leave;
  std::size_t draining = 0;
  for (auto* m : fleet_) {
    if (m->draining) ++draining;
    if (!usable(now, *m) || m->tasks.empty()) continue;
    stay.push_back({m, m->free_capacity});
    if (now - m->born < static_cast<Ms>(kLeastPaidS * 1000) ||
        m->free_capacity.share_of(m->whole) < kNearlyEmpty)
      continue;
    const bool movable = std::all_of(m->tasks.begin(), m->tasks.end(), [&](const auto& t) {
      const auto& p = t.second;
      const double ran = ran_s(now, p);
      return p.stage == Stage::running && !p.stopping && p.job->spec.checkpoint_s > 0 &&
             ran > kSettledS && (run_time(*p.job) - ran > kWorthMovingS || ran > run_time(*p.job));
    });
    if (movable) leave.push_back(m);
  }
  const auto most = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(fleet_.size()) * kDrainingShare));
  std::stable_sort(leave.begin(), leave.end(), [&](const Machine* a, const Machine* b) {
    if (std::abs(price_of(*a) - price_of(*b)) > 1e-9) return price_of(*a) > price_of(*b);
    return a->tasks.size() < b->tasks.size();
  });
  for (auto* m : leave) {
    if (draining >= most) return;
    auto trial = stay;
    std::erase_if(trial, [m](const Stay& s) { return s.machine == m; });
    // Do they fit elsewhere?
    const bool fits = std::all_of(m->tasks.begin(), m->tasks.end(), [&](const auto& t) {
      const auto& job = *t.second.job;
      for (auto& s : trial) {
        if (!size_of(job.spec).fits(s.free_capacity) || !allowed_on(job, *s.machine)) continue;
        s.free_capacity.add(size_of(job.spec), -1);
        return true;
      }
      return false;
    });
    if (!fits) continue;
    stay = std::move(trial);
    ++draining;
    m->draining = m->stopping = true;
    for (auto& [key, p] : m->tasks) {
      p.stopping = true;
      p.grace_s = p.job->spec.save_s + kGraceSpareS;
    }
    log(Event::machine_drained, m->name, m->tasks.size());
    out_.metrics().add(telemetry::Count::stops, telemetry::StopReason::drained,
                       static_cast<double>(m->tasks.size()));
    if (!respond_if_needed(now, *m, false)) stop_direct(now, *m);
  }
}

void Leader::scale_in(Ms now) {
  if (release_in_flight_) return;
  std::vector<std::string> names;
  const Ms unit = static_cast<Ms>(params_.charge_unit_s * 1000);
  for (auto* m : fleet_) {
    if (!m->releasing) {
      const Ms age = now - m->born;
      const auto boot = m->type < 0 ? 60.0 : types_[static_cast<std::size_t>(m->type)].boot_s;
      // Counted from when this leader learned of it, too: after a takeover most machines are old
      // and have not reported here yet, and returning them as stuck once cost nine running
      // machines.
      const bool stuck = !m->up && age > static_cast<Ms>(boot * 1000 * kStuckBoots) + kStuckMs &&
                         now - m->known > kStuckMs + lease_ms(platform_);
      const bool lost = m->lost && now - m->lost_at > kLostReturnMs;
      // Its notice has run out, or nothing is left on it: once returned, its tasks are surely gone.
      const bool taken = m->vanished || (m->termination_at != 0 &&
                                         ((m->tasks.empty() && nothing_left(*m)) ||
                                          now - m->last_heartbeat_at > silent_ms(platform_)));
      const bool drained = m->draining && m->tasks.empty() && nothing_left(*m);
      const bool cordoned = m->cordoned && m->tasks.empty();
      // What replaces it is there, and it has had time to be heard of again.
      const bool unreachable =
          m->reachability.unreachable() && m->tasks.empty() &&
          now - m->reachability.unreachable_since() > lease_ms(platform_) + kLostReturnMs;
      const bool idle = m->up && m->confirmed && !m->lost && m->tasks.empty() && nothing_left(*m) &&
                        age >= static_cast<Ms>(kLeastPaidS * 1000) - kReturnWindowMs &&
                        unit - age % unit <= kReturnWindowMs && now - m->idle_since >= keep_ms(*m);
      if (!(stuck || lost || taken || drained || cordoned || unreachable || idle || m->failed))
        continue;
      if (!m->tasks.empty() && !m->failed && !taken) continue;
      m->releasing = true;
      using telemetry::ReleaseReason;
      const auto [why, word] = stuck         ? std::pair{ReleaseReason::stuck, "never came up"}
                               : lost        ? std::pair{ReleaseReason::lost, "lost"}
                               : drained     ? std::pair{ReleaseReason::drained, "drained"}
                               : taken       ? std::pair{ReleaseReason::taken, "taken"}
                               : m->failed   ? std::pair{ReleaseReason::failed, "failed"}
                               : cordoned    ? std::pair{ReleaseReason::faulty, "faulty"}
                               : unreachable ? std::pair{ReleaseReason::unreachable, "unreachable"}
                                             : std::pair{ReleaseReason::idle, "idle"};
      log(Event::machine_released, m->name, word);
      out_.metrics().add(telemetry::Count::returned, why);
    }
    names.push_back(m->name);
    if (names.size() == 100) break;
  }
  if (names.empty() || !can_call_cloud(now)) return;
  release_in_flight_ = true;
  HttpCall c;
  c.target = Target::cloud;
  c.method = Method::post;
  c.path = "/machines/release";
  c.body = wire::release_request(names);
  c.timeout_ms = kCloudTimeoutMs;
  out_.call(std::move(c), mine([this, names](Ms t, int status, std::string_view) {
              release_in_flight_ = false;
              cloud_answered(t, status);
              if (status != 200) return;  // again in the next round
              for (const auto& n : names) {
                auto it = machines_.find(n);
                if (it == machines_.end()) continue;
                // The machine and everything on it is gone.
                std::vector<TaskKey> keys;
                for (const auto& [key, p] : it->second->tasks) keys.push_back(key);
                for (const auto& key : keys) confirm_terminated(t, *it->second, key);
                forget_machine(t, n);
              }
              dirty_ = true;
            }));
}

// What is in no list though every list must have it by now is gone: taken without notice, or
// returned by an earlier leader. It is returned at once, and the cloud's answer to that, not the
// list, proves that nothing is left on it. Waiting for leases held two fifths of a fleet's tasks
// for 34 s after a wave.
void Leader::listed_all(Ms now) {
  const Ms sure =
      listing_since_ - static_cast<Ms>(platform_.cloud_list_lag_s * 1000 * kListOldest) - kListMs;
  for (auto* m : fleet_) {
    if (m->vanished || m->releasing || m->lost || m->born >= sure || m->known >= listing_since_ ||
        seen_listed_.contains(m->name))
      continue;
    // Heard since the list may have been made: not gone then.
    if (m->up && now - m->last_heartbeat_at < kListMs) continue;
    m->vanished = true;
    log(Event::machine_vanished, m->name, m->tasks.size());
  }
  seen_listed_.clear();
}

void Leader::list(Ms now, std::string after) {
  if (!can_call_cloud(now)) {
    listing_ = false;
    return;
  }
  if (after.empty()) {
    seen_listed_.clear();
    listing_since_ = now;
  }
  HttpCall c;
  c.target = Target::cloud;
  c.path = wire::list_path(after, 500);
  c.timeout_ms = kCloudTimeoutMs;
  out_.call(std::move(c), mine([this](Ms t, int status, std::string_view body) {
              listing_ = false;
              cloud_answered(t, status);
              auto page = status == 200 ? wire::parse_machines(body) : std::nullopt;
              if (!page) return;
              for (const auto& l : page->machines) {
                seen_listed_.insert(l.name);
                if (tombstones_.contains(l.name)) continue;
                auto it = machines_.find(l.name);
                Machine* m = it != machines_.end() ? it->second.get() : nullptr;
                const Ms born = t - static_cast<Ms>(l.age_s * 1000);
                if (m == nullptr) {
                  // An earlier leader's, or a rental that was carried out late: used or returned
                  // like any other.
                  m = add_machine(t, l.name, l.type, l.zone, l.spot);
                  if (m == nullptr) continue;
                  m->born = born;
                }
                // The age is as old as the list, so the true beginning is no later than this.
                m->born = std::min(m->born, born);
                if (m->addr.empty()) m->addr = l.addr;
                if (l.status == wire::ListedMachine::Status::failed && !m->failed) {
                  m->failed = true;
                  log(Event::machine_failed, l.name);
                }
              }
              if (page->more && !page->machines.empty()) {
                listing_ = true;
                list(t, page->machines.back().name);
              } else {
                listed_all(t);
              }
            }));
}

}  // namespace hitchfront::core
