#include <algorithm>
#include <cmath>

#include "leader/leader.hpp"
#include "leader/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Size;

bool Leader::usable(Ms now, const Machine& m) const {
  return m.up && m.confirmed && !m.lost && !m.reachability.unreachable() && !m.vanished &&
         !m.cordoned && !m.draining && !m.releasing && !m.failed && m.termination_at == 0 &&
         now - m.last_heartbeat_at < silent_ms(platform_);
}

bool Leader::is_missing(Ms now, const Machine& m) const {
  return m.up && !m.lost && !m.failed && !m.releasing && m.termination_at == 0 &&
         (m.reachability.unreachable() || m.vanished ||
          now - m.last_heartbeat_at > silent_ms(platform_) + kMissedMs);
}

// It gets nothing more, counts as missing, so that what replaces it is rented, and is asked
// directly from time to time whether it can be reached again. Its tasks count as there until they
// are proved gone, like anybody's: a lease that no answer renews is over by itself, and its next
// heartbeat tells.
void Leader::command_missed(Ms now, Machine& m, std::uint32_t times) {
  if (m.reachability.command_missed(now, times))
    log(Event::machine_unreachable, m.name, m.tasks.size());
}

void Leader::command_arrived(Machine& m) {
  if (m.reachability.command_arrived()) log(Event::machine_reachable, m.name);
}

void Leader::probe(Ms now, Machine& m) {
  if (!m.reachability.may_probe(now) || m.addr.empty() || !can_act(now)) return;
  m.reachability.probe();
  HttpCall c;
  c.target = Target::worker;
  c.addr = m.addr;
  c.path = "/status";
  c.timeout_ms = kWorkerTimeoutMs;
  out_.call(std::move(c), mine([this, name = m.name](Ms t, int status, std::string_view) {
              const auto it = machines_.find(name);
              if (it == machines_.end()) return;
              if (it->second->reachability.probed(t, status == 200))
                log(Event::machine_reachable, name);
              if (status == 200) dirty_ = true;
            }));
}

// An attempt that is kept listed because its launch may still come is nothing that anybody waits
// for.
bool Leader::nothing_left(const Machine& m) const {
  return std::all_of(m.task_statuses.begin(), m.task_statuses.end(),
                     [&](const wire::TaskStatus& t) {
                       return t.state == wire::TaskState::ended && m.in_flight.contains(t.attempt);
                     });
}

void Leader::heartbeat(Ms now, std::uint64_t request, wire::Heartbeat heartbeat,
                       HeartbeatRoute way) {
  auto* r = &heartbeat;
  if (!can_act(now)) return out_.reply(request, 503, wire::error_body("no leader"));
  out_.metrics().add(telemetry::Count::heartbeats, way);
  if (way == HeartbeatRoute::direct)
    last_direct_ = now;
  else if (r->zone == platform_.zone)
    last_detour_ = now;
  if (tombstones_.contains(r->machine))
    return out_.reply(request, 503, wire::error_body("machine returned"));
  if (!loaded_) {
    // Keeps the worker's lease alive. Its tasks are unknown until its next heartbeat, and the
    // answer lets them live on for a lease from now: the doubt has to last as long.
    reconciliation_ends_at_ = std::max(reconciliation_ends_at_, now + lease_ms(platform_));
    // Of what is not loaded yet only this is known, and that lease is not to keep such tasks alive.
    // When their users were told is not.
    heartbeat::Response a(kCommandsMost);
    for (const auto& t : r->tasks) {
      const auto* job = find(t.job);
      const bool over = job != nullptr ? job->cancelled : is_cancelled && is_cancelled(t.job);
      if (over && t.state != wire::TaskState::ended) a.end({t.job, t.task, t.attempt}, 0);
    }
    respond(now, request, r->machine, r->addr, r->incarnation, a);
    return;
  }
  auto it = machines_.find(r->machine);
  Machine* m = it != machines_.end() ? it->second.get() : nullptr;
  if (m == nullptr) {
    m = add_machine(now, r->machine, r->type, r->zone, r->spot);
    if (m == nullptr)
      return out_.reply(request, 503, wire::error_body("machine type not known yet"));
    m->born = now;
    log(Event::machine_registered, r->machine, offer_text(m->type, m->zone, r->spot),
        r->incarnation);
  }
  // The newest heartbeat once more, by another way: the answer to the first copy got lost. It
  // renews the lease as that one did, so that what has to end has to be in it again; a launch in
  // the lost answer shows as absent in the next heartbeat.
  if (way == HeartbeatRoute::store && r->incarnation == m->incarnation && r->seq == m->seq &&
      !m->lost && m->expired_incarnation < r->incarnation) {
    if (respond(now, request, r->machine, r->addr, r->incarnation, build_response(now, *m)))
      m->lease_expires_at =
          std::max(m->lease_expires_at, m->last_heartbeat_at + lease_ms(platform_));
    return;
  }
  // Delayed in the network: its task list is old, and the worker has given up on it.
  if (r->incarnation < m->incarnation || (r->incarnation == m->incarnation && r->seq <= m->seq))
    return out_.reply(request, 503, wire::error_body("stale report"));
  // Its lease was declared over, and its tasks may run elsewhere by now: an answer would revive it.
  if (m->expired_incarnation != 0 && r->incarnation <= m->expired_incarnation)
    return out_.reply(request, 503, wire::error_body("lease over"));

  if (m->held) {
    out_.reply(*m->held, 503, wire::error_body("superseded"));
    m->held.reset();
  }
  if (r->incarnation > m->incarnation && m->incarnation != 0) {
    // A new incarnation begins without tasks: what is known to be of an earlier one is gone. What
    // the allocation log names may be of this incarnation or a later one: the first heartbeat of a
    // term can be a late copy of an incarnation long past, and the next one, that of the
    // incarnation in which the task runs, once made it start elsewhere (seed 70).
    for (auto p = m->tasks.begin(); p != m->tasks.end();) {
      const auto key = p->first;
      const bool over = p->second.stage != Stage::assigned && p->second.incarnation != 0 &&
                        p->second.incarnation < r->incarnation;
      ++p;
      if (over) confirm_terminated(now, *m, key);
    }
    log(Event::machine_restarted, m->name, r->incarnation);
    // No launch of an earlier incarnation is carried out in this one.
    m->in_flight.end_incarnation();
    // Its lease ran out though it was answered all along. One that hung, or was cut off, was not.
    if (m->confirmed && m->answered_at != 0 && now - m->answered_at < lease_ms(platform_) / 2)
      command_missed(now, *m, kUnreachableResponses);
  }
  if (!m->up) m->idle_since = now;
  m->up = true;
  m->lost = false;
  if (!m->releasing) m->vanished = false;
  m->addr = r->addr;
  if (r->incarnation > m->incarnation || m->lease_expires_at == 0)
    m->lease_expires_at =
        std::max({m->lease_expires_at, reconciliation_ends_at_, now + lease_ms(platform_)});
  m->incarnation = r->incarnation;
  m->seq = r->seq;
  m->last_heartbeat_at = now;
  if (r->fencing_token == term_) m->recovered = false;
  if (!m->confirmed && r->fencing_token == term_)
    out_.metrics().observe(telemetry::Histogram::confirm_s,
                           static_cast<double>(now - began_) / 1000);
  if (r->fencing_token == term_ && !m->confirmed)
    command_arrived(*m);
  else if (r->fencing_token < term_ && m->answered_at != 0)
    command_missed(now, *m);
  m->confirmed = r->fencing_token == term_;
  if (r->notice_s && m->termination_at == 0) {
    // The notice may be half as long as announced.
    m->termination_at = now + static_cast<Ms>(*r->notice_s * 500);
    log(Event::machine_notice, m->name, *r->notice_s);
    for (auto p = m->tasks.begin(); p != m->tasks.end();) {
      auto& pl = p->second;
      const auto next = std::next(p);
      if (pl.stage == Stage::assigned) {
        vacate(*m, p);
      } else if (pl.job->spec.checkpoint_s > 0) {
        if (!pl.stopping)
          out_.metrics().add(telemetry::Count::stops, telemetry::StopReason::notice);
        pl.stopping = m->stopping = true;
        pl.grace_s = pl.job->spec.save_s + kGraceSpareS;
      } else {
        // It can't save: if it won't be done in time it may as well begin again elsewhere at once.
        const double ran = ran_s(now, pl);
        pl.stopping = run_time(*pl.job) - ran > *r->notice_s;
        if (pl.stopping) out_.metrics().add(telemetry::Count::stops, telemetry::StopReason::notice);
        m->stopping = m->stopping || pl.stopping;
      }
      p = next;
    }
  }
  take_tasks(now, *m, *r);
  m->task_statuses = std::move(r->tasks);
  m->held = request;
  m->held_since = now;
  dirty_ = true;
  schedule(now);
  if (!m->held) return;
  // An assignment waits for the allocation log; its launch is to be in this answer, not in the
  // next, a whole period later.
  const bool launches = m->assigned > 0;
  const bool worth_holding =
      usable(now, *m) &&
      (launches || (m->free_capacity.cpus >= 1 && m->free_capacity.memory_gb > 0));
  // The way back through the store takes long enough as it is.
  m->held_most = way == HeartbeatRoute::store ? kHoldRelayedMs : hold_ms(platform_);
  respond_if_needed(now, *m, !worth_holding || (way == HeartbeatRoute::store && !launches));
}

void Leader::take_tasks(Ms now, Machine& m, const wire::Heartbeat& r) {
  const auto listed = m.listed = ++heartbeats_;
  // A heartbeat of before this term may be older than the launch that the allocation log names
  // here: what it lists as ended may be an earlier attempt of the same task. Found as tasks that
  // ran twice: two old reports in a row, kept until the next leader began, the first with that
  // attempt running, which the books took for theirs, the second with its end.
  const bool of_now = r.fencing_token == term_;
  bool command_seen = false, command_lost = false;
  for (const auto& t : r.tasks) {
    auto* job = find(t.job);
    if (job == nullptr || t.task >= job->spec.tasks) continue;
    const TaskKey key{job->index, t.task};
    auto it = m.tasks.find(key);
    if (t.state == wire::TaskState::ended) {
      if (t.cause == wire::Cause::done) {
        if (it != m.tasks.end() && it->second.run_since != 0) {
          const double ran = static_cast<double>(now - it->second.run_since) / 1000;
          if (job->run_count >= kPaceTasks && job->run_sum_s > 0) {
            m.pace += kPaceWeight * (ran * job->run_count / job->run_sum_s - m.pace);
            if (m.pace > kFaultyPace && !m.cordoned) {
              m.cordoned = true;
              log(Event::machine_slow, m.name, m.pace);
            }
          }
          job->run_sum_s += ran;
          ++job->run_count;
        }
        const bool end_confirmed =
            of_now || it == m.tasks.end() || it->second.stage == Stage::assigned;
        if (!end_confirmed)
          set_in_flight(it->second,
                        true);  // done for ever, and another attempt may be here all the same
        completed(now, m, *job, t.task);
        if (find(t.job) != job) continue;  // that was its last task
        if (auto p = m.tasks.find(key); end_confirmed && p != m.tasks.end())
          confirm_terminated(now, m, key);
      } else if (of_now && it != m.tasks.end() && it->second.attempt == t.attempt &&
                 it->second.stage != Stage::assigned) {
        command_seen = command_seen || it->second.stage == Stage::sent;
        // `busy` means that another attempt of this task is on this very machine; the heartbeat
        // lists it too, and then it is taken up below.
        log(Event::task_ended, t.job, t.task, m.name, wire::name(t.cause), ran_s(now, it->second));
        confirm_terminated(now, m, key);
        if (t.cause == wire::Cause::error) {
          out_.metrics().add(telemetry::Count::failures);
          failed(now, m, *job);
        }
        if (t.cause == wire::Cause::unknown) job->not_before = now + kFailPauseMs;
      }
      continue;
    }
    if (job->phase[t.task] == TaskPhase::done) {  // told to stop in the answer
      if (it != m.tasks.end()) it->second.listed = listed;
      continue;
    }
    if (it == m.tasks.end()) {
      // The allocation log that this leader was handed has all that its predecessors launched and
      // nobody proved gone. A heartbeat of before this term that lists something else is late, a
      // copy perhaps of one that came minutes ago: believed, it had work that runs elsewhere held
      // for a lease by a machine that was returned.
      if (inherited_complete_log_ && r.fencing_token < term_ && t.attempt >> kAttemptBits < term_)
        continue;
      // An earlier leader's launch, or one that was thought gone. Presence is believed from anyone.
      Placement p;
      p.since = now;
      p.attempt = t.attempt;
      p.stage = Stage::sent;
      p.stopping = job->cancelled;
      occupy(m, *job, t.task, p);
      has_image(m, job->image);
      it = m.tasks.find(key);
    }
    auto& p = it->second;
    command_seen =
        command_seen || (p.stage == Stage::sent && p.sent_seq != 0 && p.attempt == t.attempt);
    p.attempt = t.attempt;
    p.listed = listed;
    if (r.fencing_token == term_) p.incarnation = r.incarnation;
    set_in_flight(p, false);  // it is there; what may still come of its launch finds it there
    if (t.state != wire::TaskState::fetching && t.state != wire::TaskState::saving &&
        p.run_since == 0 && p.stage != Stage::assigned) {
      p.run_since = now;
      began_to_run(*job);
      if (p.sent_seq != 0)
        out_.metrics().observe(telemetry::Histogram::start_s,
                               static_cast<double>(now - job->seen) / 1000,
                               static_cast<std::size_t>(job->spec.priority));
    }
    if (p.stage == Stage::assigned) --m.assigned;
    set_stage(p, t.state == wire::TaskState::fetching ? Stage::fetching
                 : t.state == wire::TaskState::saving ? Stage::saving
                                                      : Stage::running);
  }
  // Absence is proved only by a heartbeat that was sent after hearing from this leader and after
  // the worker dealt with the answer that carried the launch.
  if (r.fencing_token != term_) return;
  std::vector<TaskKey> absent;
  for (const auto& [key, p] : m.tasks)
    if (p.stage != Stage::assigned && p.sent_seq < r.seq && p.listed != listed) {
      command_lost = command_lost || (p.stage == Stage::sent && p.sent_seq != 0 && !p.stopping);
      // A direct launch that was not answered may be carried out as long as the incarnation lasts:
      // until then the task is here. One of an earlier term can't be any more: the worker has heard
      // of this one.
      if (!p.in_flight || p.attempt >> kAttemptBits < term_) absent.push_back(key);
    }
  for (const auto& key : absent) confirm_terminated(now, m, key);
  if (command_seen)
    command_arrived(m);
  else if (command_lost)
    command_missed(now, m);
}

void Leader::completed(Ms now, Machine& m, JobState& job, std::uint32_t task) {
  if (job.phase[task] == TaskPhase::done) return;
  if (job.phase[task] == TaskPhase::unknown) count_team(job, -1);
  job.set(task, TaskPhase::done);
  if (job.progress_at == 0) job.progress_at = now;
  began_to_run(job);
  out_.metrics().add(telemetry::Count::completions);
  job.not_before = 0;
  const auto* failed_on = failure_attribution_.is_sound(job.index)
                              ? nullptr
                              : failure_attribution_.failed_on(job.index);
  failure_attribution_.completed(job.index, m.name);
  // The job is sound, then: what of it failed elsewhere tells about those machines.
  if (failed_on != nullptr)
    for (const auto& name : *failed_on)
      if (auto it = machines_.find(name); it != machines_.end()) cordon_if_faulty(*it->second);
  if (job.complete() && job.run_count > 0)
    predictor_.observe(job.owner, job.run_sum_s / job.run_count);
  persist(now, job);
}

void Leader::cordon_if_faulty(Machine& m) {
  if (m.cordoned || !failure_attribution_.faulty(m.name)) return;
  m.cordoned = true;
  log(Event::machine_faulty, m.name);
}

void Leader::failed(Ms now, Machine& m, JobState& job) {
  const bool before = failure_attribution_.is_quarantined(job.index);
  const auto n = failure_attribution_.failed(job.index, m.name);
  cordon_if_faulty(m);
  if (failure_attribution_.is_sound(job.index)) return;  // elsewhere at once
  // The job may itself be at fault: fewer tries, but never none.
  job.not_before = now + std::min(kFailPauseMostMs, kFailPauseMs << std::min(n - 1, 10U));
  if (!before && failure_attribution_.is_quarantined(job.index))
    log(Event::job_quarantined, job.spec.id);
}

// Answers the held report. Without `force` only when there is something to say.
bool Leader::respond_if_needed(Ms now, Machine& m, bool force) {
  if (!m.held) return false;
  // Right before the answer: past our lease another leader may have told the worker's tasks to run
  // elsewhere.
  if (!can_act(now)) {
    out_.reply(*m.held, 503, wire::error_body("no leader"));
    m.held.reset();
    return true;
  }
  auto a = build_response(now, m);
  if (usable(now, m) && a.renews_lease(now))
    for (const auto& c : launches(now, m, a.remaining_commands()))
      a.launch({c.job, c.task, c.attempt});
  if (a.empty() && !force) return false;
  const auto request = *m.held;
  m.held.reset();
  if (!respond(now, request, m.name, m.addr, m.incarnation, a)) return true;
  m.answered_at = now;
  // The worker counts its lease from when it sent this heartbeat, which was before we received it.
  m.lease_expires_at = std::max(m.lease_expires_at, m.held_since + lease_ms(platform_));
  return true;
}

heartbeat::Response Leader::build_response(Ms now, Machine& m) {
  heartbeat::Response a(kCommandsMost);
  for (const auto& t : m.task_statuses) {
    const heartbeat::Attempt attempt{t.job, t.task, t.attempt};
    auto* job = find(t.job);
    const bool known = job != nullptr && t.task < job->spec.tasks;
    if (t.state == wire::TaskState::ended) {
      // A completion is stored before the worker may forget it, unless its job is cancelled.
      if (!m.in_flight.contains(t.attempt) &&
          (!known || t.cause != wire::Cause::done || job->cancelled || job->stored[t.task]))
        a.clear(attempt);
      continue;
    }
    if (!known || job->cancelled || job->phase[t.task] == TaskPhase::done) {
      a.end(attempt, known && job->cancelled ? job->renew_until : INT64_MAX);
      continue;
    }
    auto it = m.tasks.find({job->index, t.task});
    if (it != m.tasks.end() && it->second.stopping && t.state != wire::TaskState::saving) {
      a.stop(attempt, it->second.grace_s);
      it->second.stop_sent = now;
    }
  }
  if (!m.stopping && m.in_flight.empty()) return a;
  for (auto& [key, p] : m.tasks) {
    if (p.stage == Stage::assigned || p.listed == m.listed) continue;
    const bool ours = p.attempt >> kAttemptBits == term_;
    const heartbeat::Attempt attempt{p.job->spec.id, p.task, ours ? p.attempt : 0};
    if (p.job->cancelled) {
      // Launched by an earlier leader, or by a command to the machine without an answer: it may
      // come yet. Else it came after this heartbeat was sent, and is known there.
      if (!ours || p.in_flight)
        a.end_unlisted(now, attempt, p.job->renew_until);
      else
        a.end(attempt, p.job->renew_until);
      if (p.in_flight) p.sent_seq = m.seq;
    } else if (p.in_flight && ours && !m.direct_out && a.remaining_commands() >= 2) {
      // A direct launch that was not answered, and does not show: the same attempt once more, which
      // has no effect where it was carried out meanwhile.
      if (p.stopping || !p.job->active() || p.job->phase[p.task] == TaskPhase::done)
        a.end_unlisted(now, attempt, INT64_MAX);
      else
        a.launch(attempt);
      p.sent_seq = m.seq;
    }
  }
  return a;
}

// The one place from which a lease is renewed. What the answer can't end goes to the machine
// itself.
bool Leader::respond(Ms now, std::uint64_t request, const std::string& machine,
                     const std::string& addr, std::uint64_t incarnation,
                     const heartbeat::Response& a) {
  const bool renews_lease = a.renews_lease(now);
  for (const auto& commands : a.direct(renews_lease))
    if (!addr.empty())
      out_.call(to_machine(addr, incarnation, commands), [](Ms, int, std::string_view) {});
  if (renews_lease) {
    out_.reply(request, 200, wire::encode_heartbeat_response(term_, a.commands()));
  } else {
    log(Event::machine_lease_refused, machine);
    out_.metrics().add(telemetry::Count::lease_renewals_refused);
    out_.reply(request, 503, wire::error_body("a task of a cancelled job can't be ended"));
  }
  return renews_lease;
}

std::vector<wire::Command> Leader::launches(Ms now, Machine& m, std::size_t most) {
  std::vector<wire::Command> commands;
  if (m.assigned == 0) return commands;
  // Capacity as it is, tasks being stopped included: an assignment may be waiting for them to go.
  Size free_capacity = m.whole;
  for (auto& [key, p] : m.tasks)
    if (p.stage != Stage::assigned) free_capacity.add(size_of(p.job->spec), -1);
  for (auto& [key, p] : m.tasks) {
    if (commands.size() >= most) break;
    if (!size_of(p.job->spec).fits(free_capacity)) continue;
    // Dropped as late as possible: a job cancelled meanwhile starts nothing.
    if (p.stage != Stage::assigned || !p.recorded || !p.job->active() ||
        p.task >= p.job->launch_watermark)
      continue;
    p.stage = Stage::sent;
    --m.assigned;
    p.attempt = (term_ << kAttemptBits) | next_attempt_++;
    p.sent_seq = m.seq;
    p.incarnation = m.incarnation;
    p.since = now;
    free_capacity.add(size_of(p.job->spec), -1);
    commands.push_back({wire::Command::Op::start, p.job->spec.id, p.task, p.attempt, 0});
    out_.metrics().add(telemetry::Count::launches);
  }
  return commands;
}

HttpCall Leader::to_machine(const std::string& addr, std::uint64_t incarnation,
                            const std::vector<wire::Command>& commands) const {
  HttpCall c;
  c.target = Target::worker;
  c.addr = addr;
  c.method = Method::post;
  c.path = "/commands";
  c.body = wire::direct_commands(term_, incarnation, commands);
  c.timeout_ms = kWorkerTimeoutMs;
  return c;
}

// Where the next heartbeat is seconds away, a launch that is stored goes to the machine itself. It
// may be carried out late, as long as token and incarnation are the same: docs/safety.md, "Direct
// launches", says why that breaks nothing.
void Leader::launch_direct(Ms now, Machine& m) {
  if (!direct_launch_enabled_ || m.held || m.direct_out || m.reachability.has_missed_commands() ||
      m.assigned == 0 || m.addr.empty() || !usable(now, m) || !can_act(now))
    return;
  if (m.last_heartbeat_at + heartbeat_ms(platform_) - now < kDirectWorthMs) return;
  const auto commands = launches(now, m, kCommandsMost);
  if (commands.empty()) return;
  std::vector<std::pair<TaskKey, std::uint64_t>> launched;
  for (auto& [key, p] : m.tasks)
    if (p.stage == Stage::sent && std::any_of(commands.begin(), commands.end(), [&](const auto& c) {
          return c.attempt == p.attempt;
        })) {
      set_in_flight(p, true);
      m.in_flight.add(p.attempt, key);
      launched.push_back({key, p.attempt});
    }
  m.direct_out = true;
  auto c = to_machine(m.addr, m.incarnation, commands);
  out_.metrics().add(telemetry::Count::direct_launches, static_cast<double>(commands.size()));
  out_.call(std::move(c),
            mine([this, name = m.name, incarnation = m.incarnation, launched = std::move(launched)](
                     Ms t, int status, std::string_view body) {
              direct_answered(t, name, incarnation, launched, status, body);
            }));
}

void Leader::direct_answered(Ms now, const std::string& machine, std::uint64_t incarnation,
                             const std::vector<std::pair<TaskKey, std::uint64_t>>& launched,
                             int status, std::string_view body) {
  const auto found = machines_.find(machine);
  if (found == machines_.end()) return;
  auto& m = *found->second;
  m.direct_out = false;
  if (m.incarnation != incarnation) return;  // nothing of it is left, nor will be
  const auto heartbeat = status == 200 ? wire::parse_heartbeat(body) : std::nullopt;
  const bool refused = status == 409 || status == 400;
  if (!heartbeat && !refused) {
    // It may be carried out yet. The next answer says it again.
    command_missed(now, m);
    return;
  }
  for (const auto& [key, attempt] : launched) {
    m.in_flight.resolve(attempt);
    const auto it = m.tasks.find(key);
    if (it == m.tasks.end() || it->second.attempt != attempt || it->second.stage != Stage::sent)
      continue;
    set_in_flight(it->second, false);
    if (refused)
      confirm_terminated(now, m, key);
    else if (heartbeat->incarnation == incarnation)
      it->second.sent_seq = heartbeat->seq;  // what was sent after this one lists it
  }
  if (m.assigned > 0) launch_direct(now, m);
}

void Leader::stop_direct(Ms now, Machine& m) {
  if (m.addr.empty() || !can_act(now)) return;
  std::vector<wire::Command> commands;
  bool any = false;
  for (auto& [key, p] : m.tasks) {
    if (!p.stopping || p.stage == Stage::assigned) continue;
    any = true;
    // Nobody has any use for what a cancelled one saves.
    if (p.stage == Stage::saving && !p.job->cancelled) continue;
    if (p.stop_sent != 0 && now - p.stop_sent < kStopRepeatMs) continue;
    p.stop_sent = now;
    commands.push_back({wire::Command::Op::stop, p.job->spec.id, p.task, p.attempt, p.grace_s});
  }
  m.stopping = any;
  if (commands.empty()) return;
  auto c = to_machine(m.addr, m.incarnation, commands);
  // What comes of it shows in the worker's next heartbeat.
  out_.call(std::move(c), [](Ms, int, std::string_view) {});
}

void Leader::lease_check(Ms now) {
  if (reconciling_ && loaded_ && now > reconciliation_ends_at_) {
    reconciling_ = false;
    std::vector<JobState*> cancelled;
    for (const auto& [name, m] : unknown_type_machines_)
      if (!machines_.contains(name)) allocation_log_.remove(now, name);
    unknown_type_machines_.clear();
    for (auto& [id, job] : jobs_) {
      job->unreconciled.clear();
      if (job->unknown == 0) continue;
      unplaced_ += job->unknown;
      for (std::uint32_t t = 0; t < job->spec.tasks; ++t)
        if (job->phase[t] == TaskPhase::unknown) {
          job->fresh = std::max(job->fresh, t + 1);
          job->set(t, TaskPhase::waiting);
          count_team(*job, -1);
        }
      if (job->cancelled) cancelled.push_back(job.get());
    }
    for (auto* j : cancelled) persist(now, *j);
    dirty_ = true;
  }
  // Without the right to act it answers nobody, and says no leases are over that a successor may
  // have renewed.
  if (!can_act(now)) return;
  for (auto* m : fleet_) {
    probe(now, *m);
    if (m->lost || !(m->up || m->recovered) || now <= m->lease_expires_at) continue;
    if (m->recovered) {
      ++silent_;
      unplaced_ += m->tasks.size();
      m->recovered = false;
    }
    m->lost = true;
    m->lost_at = now;
    m->expired_incarnation = m->incarnation;
    m->confirmed = false;
    if (m->held) {
      out_.reply(*m->held, 503, wire::error_body("lease over"));
      m->held.reset();
    }
    m->in_flight.end_incarnation();
    log(Event::machine_lost, m->name, m->tasks.size());
    out_.metrics().add(telemetry::Count::leases_lost);
    out_.metrics().add(telemetry::Count::tasks_lost, static_cast<double>(m->tasks.size()));
    std::vector<TaskKey> keys;
    for (const auto& [key, p] : m->tasks) keys.push_back(key);
    for (const auto& key : keys) confirm_terminated(now, *m, key);
  }
}

}  // namespace hitchfront::core
