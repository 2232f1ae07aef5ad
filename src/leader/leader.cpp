#include "leader/leader.hpp"

#include <algorithm>
#include <cmath>

#include "leader/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {

std::vector<bool> admitted(const Operator& op) {
  std::vector<bool> out;
  for (const auto& p : portfolio::all_policies()) {
    const auto full = portfolio::name(p);
    const auto a = full.find('-'), b = full.rfind('-');
    out.push_back(op.admits(full.substr(0, a), full.substr(a + 1, b - a - 1), full.substr(b + 1)));
  }
  return out;
}

}  // namespace

Leader::Leader(Outbox& out, StoreClient& store, LeaderElection& election,
               FeatureLevelGate& feature_levels, const Platform& platform, const Operator& op,
               std::uint64_t seed, std::int64_t wall_minus_steady)
    : out_(out),
      store_(store),
      election_(election),
      feature_levels_(feature_levels),
      platform_(platform),
      operator_(op),
      term_(election.term()),
      leader_version_(election.key_version()),
      wall_minus_steady_(wall_minus_steady),
      allocation_log_enabled_(op.get("roster", {}) != 0),
      direct_launch_enabled_(allocation_log_enabled_ && op.get("direct", {}) != 0),
      allocation_log_(
          {std::min(kAllocationChunkMost,
                    static_cast<std::size_t>(static_cast<double>(platform.store.value_bytes()) *
                                             kAllocationChunkShare)),
           kAllocationBatchMost, platform.store.transaction_changes,
           std::max(1.0, platform.store.writes_per_s * kStoreShare *
                             (platform.nodes > 1 ? kLeaderShare : 1) * kAllocationShare),
           kAllocationSoonMs}),
      zones_(platform.zones),
      cloud_(platform.cloud_rps * kStoreShare, platform.cloud_rps),
      served_({kServedNames, kServedDueMs, kServedFadeMs, kServedShare, kServedLowMs}),
      large_jobs_(kServedNames),
      selector_(seed + 1, kLambda, admitted(op)) {
  for (const auto& t : platform.teams)
    teams_.push_back({t.name, t.cpus, t.cpus_max, t.gpus, t.gpus_max, 0, 0});
  quota_guarantees_ = std::any_of(teams_.begin(), teams_.end(),
                                  [](const Team& t) { return t.cpus > 0 || t.gpus > 0; });
  policy_ = selector_.chosen();
  params_.slowdown_bound_s = kSlowdownBoundS;
  params_.charge_unit_s = op.get("charge_unit", {});
  params_.ode_unit_s = kOdeUnitS;
  params_.odx_threshold = kOdxThreshold;
  params_.horizon_s = kReplayHorizonS;
  params_.pass_s = kReplayPassS;
}

// ---- loading ------------------------------------------------------------------------------------

void Leader::begin(Ms now, bool recovering) {
  began_ = last_direct_ = now;
  out_.metrics().add(telemetry::Count::takeovers);
  // Whatever an earlier leader answered, it answered before this takeover, to a heartbeat sent
  // earlier still. After this long every worker that has not heard from us has lost its lease.
  reconciliation_ends_at_ = now + lease_ms(platform_);
  next_select_ = now + kTickMs;
  // The leader of before the loss may not know of it, and acts for as long as its lease and what it
  // was promised last.
  if (recovering)
    reconciliation_ends_at_ += kLeaderTtlMs + kAbstentionMs + kLeaseMarginMs;
  else
    load(now);
}

void Leader::load_unfinished(Ms now, std::string after, Ms asked) {
  store_.range(now, Rank::leader, kUnfinishedPrefix, after,
               mine([this, after, asked](Ms t, int status, std::string_view body) {
                 auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
                 if (!page) return load_unfinished(t, after, asked);
                 if (after.empty()) revision_ = std::max(leader_version_, page->revision);
                 for (auto& i : page->items) add_job(t, i.key.substr(5), i.value, i.version);
                 if (page->more && !page->items.empty())
                   return load_unfinished(t, page->items.back().key, asked);
                 if (on_read_all) on_read_all(asked);
                 load_progress(t, "");
               }));
}

void Leader::load_progress(Ms now, std::string after) {
  store_.range(now, Rank::leader, kProgressPrefix, after,
               mine([this, after](Ms t, int status, std::string_view body) {
                 auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
                 if (!page) return load_progress(t, after);
                 for (auto& i : page->items) {
                   const auto slash = i.key.rfind('/');
                   if (slash == std::string::npos || slash < 5 || !i.value.is_string()) continue;
                   auto* job = find(i.key.substr(5, slash - 5));
                   const auto chunk = static_cast<std::size_t>(
                       std::strtoul(i.key.c_str() + slash + 1, nullptr, 10));
                   if (job == nullptr || chunk >= job->chunks()) continue;
                   job->merge_chunk(chunk, i.version, i.value.get<std::string>());
                   job->chunk_dirty[chunk] = false;
                 }
                 if (page->more && !page->items.empty())
                   return load_progress(t, page->items.back().key);
                 load_allocations(t, "");
               }));
}

void Leader::loaded(Ms now) {
  loaded_ = true;
  for (const auto& [id, job] : jobs_) inherit_priority(*job);
  resolve_awaited(now);
  inherited_complete_log_ = allocation_log_enabled_ && election_.allocation_log_complete();
  restore_allocations(now);
  std::size_t unknown = 0, machines = 0, placed = 0;
  for (auto& [id, job] : jobs_) {
    if (job->done > 0) {
      failure_attribution_.mark_sound(job->index);
      began_to_run(*job);
    }
    placed += job->placed;
    unknown += job->unknown;
    // What waits for a job that is not over was never launched by anybody.
    const auto awaited = graph_.first_awaited(id);
    const bool never_launched = job->waits && find(awaited) != nullptr;
    if (election_.allocation_log_complete() || never_launched) continue;
    for (std::uint32_t t = 0; t < std::min(job->launch_watermark, job->spec.tasks); ++t) {
      if (job->phase[t] != TaskPhase::waiting) continue;
      job->set(t, TaskPhase::unknown);
      job->unreconciled.insert(t);
      count_team(*job, 1);
      ++unknown;
    }
  }
  for (const auto* m : fleet_) machines += m->recovered ? 1 : 0;
  log(Event::takeover_loaded, term_, jobs_.size(),
      election_.allocation_log_complete() ? "whole"
      : allocation_log_enabled_           ? "partial"
                                          : "none",
      machines, placed, unknown);
  std::vector<std::string> ids;
  for (auto& [id, job] : jobs_) ids.push_back(id);
  for (const auto& id : ids)
    if (auto* job = find(id); job != nullptr && (job->complete() || job->cancelled))
      persist(now, *job);
  watch_unfinished(now);
  dirty_ = true;
}

JobState* Leader::add_job(Ms now, const std::string& id, const nlohmann::json& value,
                          std::uint64_t version) {
  auto record = wire::decode_unfinished_job(value);
  if (!record) {
    log(Event::job_unreadable, id);
    return nullptr;
  }
  auto job = std::make_unique<JobState>();
  job->spec = std::move(record->job);
  job->index = next_job_++;
  job->accepted_ms = record->accepted_ms;
  job->submitted = job->seen = std::min(now, record->accepted_ms - wall_minus_steady_);
  job->priority = job->spec.priority;
  job->cancelled = record->cancelled || (is_cancelled && is_cancelled(id));
  job->launch_watermark = job->wanted_watermark = record->launch_watermark;
  job->version = version;
  job->prepare(zones_.size());
  resolve(*job);
  if (job->cancelled) job->renew_until = renew_until(*job);
  auto* p = job.get();
  p->large = large_jobs_.among(p->spec.job_class, p->spec.cpus * p->spec.tasks);
  served_.accepted(who(*p));
  jobs_[id] = std::move(job);
  await_others(*p);
  inherit_priority(*p);
  dirty_ = true;
  return p;
}

void Leader::resolve(JobState& job) {
  job.team = -1;
  for (std::size_t i = 0; i < teams_.size(); ++i)
    if (teams_[i].name == job.spec.team) job.team = static_cast<int>(i);
  job.zone = job.spec.zone ? zone_index(*job.spec.zone) : -1;
  job.image = image_index(job.spec.image);
  job.owner = owner_of(job.spec);
  job.types = 0;
  for (std::size_t i = 0; i < types_.size() && i < 64; ++i)
    if (!job.spec.types || std::find(job.spec.types->begin(), job.spec.types->end(),
                                     types_[i].name) != job.spec.types->end())
      job.types |= 1ULL << i;
  if (job.spec.zone && job.zone < 0) job.types = 0;  // a zone that isn't ours: nowhere to run
}

void Leader::watch_unfinished(Ms now) {
  if (now < next_watch_) {
    watch_at_ = next_watch_;  // the next tick opens it
    return;
  }
  next_watch_ = now + kWatchPaceMs;
  store_.watch(now, kUnfinishedPrefix, revision_,
               mine([this, asked = now](Ms t, int status, std::string_view body) {
                 auto page = status == 200 ? wire::parse_watch(body) : std::nullopt;
                 if (!page) {
                   if (status == 410) {
                     // Too far behind: what we have missed can't be told, so begin again as a new
                     // leader would.
                     election_.step_down(t, election::StepDownReason::watch_compacted);
                     return;
                   }
                   watch_at_ = t + kStoreRetryMs;
                   return;
                 }
                 revision_ = std::max(revision_, page->revision);
                 for (auto& e : page->events) {
                   const std::string id = e.key.substr(5);
                   auto* job = find(id);
                   if (e.deleted) {
                     if (job != nullptr && e.version > job->version) remove_job(t, id);
                     continue;
                   }
                   if (job == nullptr) {
                     job = add_job(t, id, e.value, e.version);
                   } else if (e.version > job->version) {
                     job->version = e.version;
                     if (auto r = wire::decode_unfinished_job(e.value)) {
                       job->launch_watermark = std::max(job->launch_watermark, r->launch_watermark);
                       if (r->cancelled && !job->cancelled) job_cancelled(t, *job);
                     }
                   }
                   if (job != nullptr && job->cancelled) persist(t, *job);
                 }
                 if (on_read_all) on_read_all(asked);
                 resolve_awaited(t);
                 watch_unfinished(t);
                 schedule(t);
               }));
}

// Nothing is stored for it before the record has been read: another controller has told it, which
// had it stored.
void Leader::cancelled(Ms now, const std::string& id) {
  if (auto* job = find(id); job != nullptr && !job->cancelled) job_cancelled(now, *job);
}

// The least that it can be whenever the cancellation was told: not before the job was accepted, by
// the clocks of two nodes.
Ms Leader::renew_until(const JobState& job) const {
  return job.submitted - static_cast<Ms>(2 * platform_.time_bound_ms) +
         settings::cancellation_blind_ms(platform_);
}

void Leader::job_cancelled(Ms now, JobState& job) {
  job.cancelled = true;
  // Nobody was told before the instant up to which each cancellation was known here.
  const Ms known = feature_levels_.lost() ? 0 : election_.cancellations_known_until();
  job.renew_until = std::max(renew_until(job), known);
  log(Event::job_cancelled, job.spec.id);
  // Its tasks are told to stop at once, by direct command and in each answer until they are gone.
  for (auto* m : fleet_) {
    if (job.possible_placements == 0) break;
    bool any = false;
    for (auto it = m->tasks.lower_bound({job.index, 0});
         it != m->tasks.end() && it->first.first == job.index;) {
      auto next = std::next(it);
      if (it->second.stage == Stage::assigned) {
        vacate(*m, it);
      } else {
        any = true;
        if (!it->second.stopping)
          out_.metrics().add(telemetry::Count::stops, telemetry::StopReason::cancelled);
        it->second.stopping = m->stopping = true;
        it->second.grace_s = 0;
      }
      it = next;
    }
    if (any && !respond_if_needed(now, *m, false)) stop_direct(now, *m);
  }
  resolve_dependency(now, job.spec.id, dependencies::Outcome::cancelled, false);
}

void Leader::remove_job(Ms now, const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  auto& job = *it->second;
  served_.ended(now, who(job), job.cancelled, job.ran);
  for (auto* m : fleet_)
    for (auto p = m->tasks.lower_bound({job.index, 0});
         p != m->tasks.end() && p->first.first == job.index;) {
      auto next = std::next(p);
      vacate(*m, p);
      p = next;
    }
  count_team(job, -static_cast<double>(job.unknown));
  failure_attribution_.forget_job(job.index);
  graph_.remove(id);
  jobs_.erase(it);
  look_for_outcome(id);
  dirty_ = true;
}

// ---- accounting
// -----------------------------------------------------------------------------------

void Leader::count_team(const JobState& job, double n) {
  if (job.team < 0) return;
  auto& t = teams_[static_cast<std::size_t>(job.team)];
  t.used_cpus += job.spec.cpus * n;
  t.used_gpus += job.spec.gpus * n;
}

void Leader::occupy(Machine& m, JobState& job, std::uint32_t task, Placement p) {
  p.job = &job;
  p.task = task;
  m.tasks[{job.index, task}] = p;
  ++job.places[task];
  ++job.possible_placements;
  if (p.stage == Stage::assigned) ++m.assigned;
  if (p.stopping) m.stopping = true;
  m.free_capacity.add(size_of(job.spec), -1);
  count_team(job, 1);
  if (m.zone >= 0) ++job.per_zone[static_cast<std::size_t>(m.zone)];
  if (job.phase[task] == TaskPhase::unknown) count_team(job, -1);
  if (job.phase[task] != TaskPhase::done) {
    if (task >= job.fresh) {
      // Tasks between the old `fresh` and this one are still waiting and must not be skipped.
      for (std::uint32_t t = job.fresh; t < task; ++t)
        if (job.phase[t] == TaskPhase::waiting) job.again.push_back(t);
      job.fresh = task + 1;
    }
    job.set(task, TaskPhase::placed);
  }
}

void Leader::set_in_flight(Placement& p, bool in_flight) {
  if (p.in_flight == in_flight) return;
  p.in_flight = in_flight;
  p.job->in_flight += in_flight ? 1U : -1U;
}

void Leader::vacate(Machine& m, std::map<TaskKey, Placement>::iterator it) {
  auto& job = *it->second.job;
  const auto task = it->second.task;
  if (!it->second.capacity_reassigned) m.free_capacity.add(size_of(job.spec), 1);
  count_team(job, -1);
  if (m.zone >= 0) --job.per_zone[static_cast<std::size_t>(m.zone)];
  if (it->second.stage == Stage::assigned) --m.assigned;
  if (counted(it->second.stage)) --job.running;
  set_in_flight(it->second, false);
  --job.possible_placements;
  m.tasks.erase(it);
  dirty_ = true;
  // Only when it is nowhere else may the task go back to waiting.
  if (--job.places[task] != 0 || job.phase[task] != TaskPhase::placed) return;
  // That it isn't here says nothing of where an earlier leader may have launched it: a late copy of
  // a heartbeat, refuted by the next, once made a task that ran on a machine not yet heard free to
  // start elsewhere.
  if (reconciling_ && job.unreconciled.contains(task)) {
    job.set(task, TaskPhase::unknown);
    count_team(job, 1);
  } else {
    job.set(task, TaskPhase::waiting);
  }
}

void Leader::set_stage(Placement& p, Stage stage) {
  if (counted(stage) != counted(p.stage)) p.job->running += counted(stage) ? 1 : -1;
  p.stage = stage;
}

void Leader::confirm_terminated(Ms now, Machine& m, TaskKey key) {
  auto it = m.tasks.find(key);
  if (it == m.tasks.end()) return;
  auto& job = *it->second.job;
  vacate(m, it);
  if (m.tasks.empty()) m.idle_since = now;
  if (allocation_log_enabled_) allocation_log_.changed(now, m.name);
  if (job.cancelled || job.complete()) persist(now, job);
}

std::optional<Leader::Counts> Leader::counts(const std::string& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end() || !loaded_) return std::nullopt;
  Counts c;
  c.done = it->second->stored_done;
  c.running = it->second->running;
  return c;
}

void Leader::update_gauges(Ms now) const {
  using telemetry::Gauge;
  auto& f = out_.metrics();
  double waiting = 0, placed = 0, unknown = 0, up = 0, booting = 0, lost = 0, leaving = 0, held = 0,
         unheard = 0;
  for (const auto& [id, job] : jobs_) {
    waiting += job->waiting;
    placed += job->placed;
    unknown += job->unknown;
  }
  for (const auto* m : fleet_) {
    if (m->recovered && !m->lost) unheard += static_cast<double>(m->tasks.size());
    if (m->held) ++held;
    ++(m->lost ? lost : !m->up ? booting : usable(now, *m) ? up : leaving);
  }
  f.set(Gauge::jobs, static_cast<double>(jobs_.size()));
  f.set(Gauge::tasks, waiting, 0);
  f.set(Gauge::tasks, placed, 1);
  f.set(Gauge::tasks, unknown, 2);
  f.set(Gauge::machines, up, 0);
  f.set(Gauge::machines, booting, 1);
  f.set(Gauge::machines, lost, 2);
  f.set(Gauge::machines, leaving, 3);
  f.set(Gauge::jobs_waiting, static_cast<double>(graph_.waiting()));
  f.set(Gauge::unknown_tasks, unknown + unheard);
  f.set(Gauge::held, held);
  for (const auto& r : served_.rows()) {
    const auto set_state = [&](const char* state, double v) {
      f.served(telemetry::name(r.by), r.name, state, v);
    };
    set_state("accepted", r.accepted);
    set_state("started", r.started);
    set_state("done", r.done);
    set_state("cancelled", r.cancelled);
    set_state("waiting", static_cast<double>(r.waiting));
    set_state("oldest_s", r.oldest_s);
    set_state("share", r.share);
  }
}

void Leader::began_to_run(JobState& job) {
  if (!std::exchange(job.ran, true)) served_.started(who(job));
}

// Nobody looks at night whether some class or team gets nothing at all.
void Leader::log_served_shares(Ms now) {
  if (now < next_served_) return;
  next_served_ = now + kStateMs;
  std::vector<telemetry::ServedShare::Open> open;
  open.reserve(jobs_.size());
  for (const auto& [id, job] : jobs_)
    if (!job->cancelled && !job->waits) open.push_back({who(*job), job->ran, now - job->seen});
  for (const auto& r : served_.look(now, open))
    log(Event::served_low, telemetry::name(r.by), r.name, r.share, r.waiting, r.oldest_s,
        static_cast<std::uint64_t>(r.accepted));
}

// What a stall looks like from inside, five seconds apart.
void Leader::log_fleet_state(Ms now) {
  if (now < next_state_) return;
  next_state_ = now + kStateMs;
  std::size_t up = 0, fit = 0, booting = 0, assigned = 0, stopping = 0, waiting = 0,
              within_guarantee = 0, limited = 0;
  double cpus = 0, placed = 0, running = 0;
  for (const auto* m : fleet_) {
    up += m->up && !m->lost ? 1 : 0;
    booting += !m->up && !m->lost ? 1 : 0;
    if (usable(now, *m)) {
      ++fit;
      cpus += m->whole.cpus;
    }
    for (const auto& [key, p] : m->tasks) {
      placed += p.job->spec.cpus;
      if (p.stage == Stage::running) running += p.job->spec.cpus;
      assigned += p.stage == Stage::assigned ? 1 : 0;
      stopping += p.stopping ? 1 : 0;
    }
  }
  for (const auto& [id, job] : jobs_) {
    if (!job->active() || job->team < 0) continue;
    waiting += job->waiting;
    if (job->within_guarantee) within_guarantee += job->waiting;
    if (!in_limit(*job)) limited += job->waiting;
  }
  log(Event::fleet_state, up, fit, booting, cpus, placed, running, assigned, stopping, waiting,
      within_guarantee, limited);
}

void Leader::resign() {
  for (auto* m : fleet_) {
    if (m->held) out_.reply(*m->held, 503, wire::error_body("no leader"));
    m->held.reset();
  }
}

void Leader::tick(Ms now) {
  if (!can_act(now)) {
    // Held reports must not wait for a lease that may not come back.
    for (auto* m : fleet_)
      if (m->held) respond_if_needed(now, *m, true);
  }
  lease_check(now);
  if (!loaded_) return;
  if (watch_at_ != 0 && now >= watch_at_) {
    watch_at_ = 0;
    watch_unfinished(now);
  }
  std::vector<std::string> unwritten;
  for (const auto& [id, job] : jobs_)
    if (!job->writing && now >= job->write_after &&
        (job->resync || job->write_after != 0 ||
         (now >= job->progress_at && job->progress_waits())))
      unwritten.push_back(id);
  for (const auto& id : unwritten)
    if (auto* job = find(id)) {
      job->write_after = 0;
      persist(now, *job);
    }
  resolve_awaited(now);
  // Pauses that end and machines heard again change what can be placed without an event of their
  // own.
  if (now >= wake_up_at_) {
    wake_up_at_ = now + kWakeUpMs;
    dirty_ = true;
  }
  schedule(now);
  preempt(now);
  for (auto* m : fleet_) {
    if (m->held && now - m->held_since >= m->held_most) respond_if_needed(now, *m, true);
    if (m->stopping && !m->held) stop_direct(now, *m);
  }
  reconcile(now);
  write_allocations(now);
  migrate(now);
  cloud_round(now);
  select(now);
  log_fleet_state(now);
  log_served_shares(now);
}

JobState* Leader::find(const std::string& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}
int Leader::type_index(const std::string& name) const {
  for (std::size_t i = 0; i < types_.size(); ++i)
    if (types_[i].name == name) return static_cast<int>(i);
  return -1;
}
std::vector<std::string> Leader::type_names() const {
  std::vector<std::string> names;
  for (const auto& type : types_) names.push_back(type.name);
  return names;
}
int Leader::zone_index(const std::string& name) const {
  for (std::size_t i = 0; i < zones_.size(); ++i)
    if (zones_[i] == name) return static_cast<int>(i);
  return -1;
}
int Leader::image_index(const std::string& name) {
  return images_.emplace(name, static_cast<int>(images_.size())).first->second;
}

}  // namespace hitchfront::core
