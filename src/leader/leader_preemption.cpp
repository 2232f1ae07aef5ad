#include <algorithm>
#include <cmath>

#include "leader/leader.hpp"
#include "leader/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Size;

// Frees capacity for work within a guarantee or of higher priority (PROTOCOL, "Preemption").
void Leader::preempt(Ms now) {
  if (now < next_preempt_ || !loaded_) return;
  next_preempt_ = now + kPreemptMs;
  update_within_guarantee();
  std::vector<JobState*> wanting;
  for (auto& [id, job] : jobs_)
    if (job->active() && job->waiting > 0 && job->team >= 0 && !held_back(*job) &&
        now >= job->not_before && !failure_attribution_.is_quarantined(job->index) &&
        (job->within_guarantee || fits_guarantee(*job) || job->priority > wire::Priority::low))
      wanting.push_back(job.get());
  if (wanting.empty()) return;
  std::sort(wanting.begin(), wanting.end(), [&](const JobState* a, const JobState* b) {
    if (a->within_guarantee != b->within_guarantee) return a->within_guarantee;
    if (a->priority != b->priority) return a->priority > b->priority;
    return a->seen < b->seen;
  });
  // Only machines with a task that might be stopped, or with capacity left, come into question.
  std::vector<Machine*> open;
  for (auto* m : fleet_)
    if (usable(now, *m) && (m->free_capacity.cpus > 1e-9 ||
                            std::any_of(m->tasks.begin(), m->tasks.end(), [](const auto& t) {
                              return t.second.job->spec.checkpoint_s > 0 && !t.second.stopping;
                            })))
      open.push_back(m);
  work_ += fleet_.size();
  // For each task that finds no capacity: the machine where making capacity loses least. The task
  // is assigned there at once, which reserves the capacity, and launched when the victims are gone.
  // Freeing capacity without reserving it was tried first: small tasks refilled the fragments, and
  // the same large job had others stopped again and again. Only the machine used changes by an
  // assignment, so each machine's offer is worked out once for a job and again only after it was
  // taken.
  std::set<Machine*> affected;
  for (auto* job : wanting) {
    const Size size = size_of(job->spec);
    struct Offer {
      double loss = 0;
      std::uint32_t at = 0;
      std::vector<Placement*> victims;
    };
    const auto dearer = [](const Offer& a, const Offer& b) {
      return a.loss != b.loss ? a.loss > b.loss : a.at > b.at;
    };
    const auto offer_of = [&](std::uint32_t at) -> std::optional<Offer> {
      auto* m = open[at];
      ++work_;
      // Capacity that is set aside for a job is not another's, or what looked for victims took it
      // at no loss at all.
      if ((m->reserved_for != 0 && m->reserved_for != job->index) ||
          m->in_flight.of_task({job->index, static_cast<std::uint32_t>(
                                                std::max<std::int64_t>(0, job->next_waiting()))}))
        return std::nullopt;
      if (!size.fits(m->whole) || !allowed_on(*job, *m) ||
          m->tasks.size() >= machine_tasks_most(platform_))
        return std::nullopt;
      Offer o;
      o.at = at;
      Size free_capacity = m->free_capacity;
      if (size.fits(free_capacity)) return o;
      std::vector<std::pair<double, Placement*>> victims;
      for (auto& [key, p] : m->tasks) {
        const double loss = loss_of(now, p, *job);
        if (loss >= 0) victims.push_back({loss, &p});
      }
      work_ += m->tasks.size();
      std::sort(victims.begin(), victims.end(),
                [](const auto& x, const auto& y) { return x.first < y.first; });
      for (auto& [l, p] : victims) {
        if (size.fits(free_capacity)) break;
        free_capacity.add(size_of(p->job->spec));
        o.loss += l;
        o.victims.push_back(p);
      }
      if (!size.fits(free_capacity)) return std::nullopt;
      return o;
    };
    if (!in_limit(*job)) continue;
    std::vector<Offer> offers;
    for (std::uint32_t i = 0; i < open.size(); ++i)
      if (auto o = offer_of(i)) offers.push_back(std::move(*o));
    std::make_heap(offers.begin(), offers.end(), dearer);
    while (job->waiting > 0 && in_limit(*job) && !offers.empty()) {
      std::pop_heap(offers.begin(), offers.end(), dearer);
      const auto at = offers.back().at;
      const double thought = offers.back().loss;
      offers.pop_back();
      // The job's own last task may have closed a zone or used up what a team had borrowed.
      auto now_there = offer_of(at);
      if (!now_there) continue;
      if (now_there->loss > thought) {
        offers.push_back(std::move(*now_there));
        std::push_heap(offers.begin(), offers.end(), dearer);
        continue;
      }
      const Offer& best = *now_there;
      auto* m = open[at];
      for (auto* p : best.victims) {
        p->stopping = m->stopping = true;
        // A best-effort team's task goes at once for work within a guarantee, back to its last
        // checkpoint: the time it would take to save is most of what a guarantee allows for a
        // start.
        p->grace_s = job->within_guarantee && is_best_effort(*p->job)
                         ? 0
                         : p->job->spec.save_s + kGraceSpareS;
        // What is being stopped frees its capacity now in the books; the launch waits for the
        // facts.
        m->free_capacity.add(size_of(p->job->spec));
        p->capacity_reassigned = true;
      }
      if (!best.victims.empty()) {
        log(Event::capacity_freed, m->name, job->spec.id, best.victims.size());
        out_.metrics().add(telemetry::Count::stops, telemetry::StopReason::preempted,
                           static_cast<double>(best.victims.size()));
      }
      assign(now, *job, *m, static_cast<std::uint32_t>(job->next_waiting()));
      affected.insert(m);
      if (auto o = offer_of(at)) {
        offers.push_back(std::move(*o));
        std::push_heap(offers.begin(), offers.end(), dearer);
      }
    }
    if (job->wanted_watermark > job->launch_watermark) persist(now, *job);
  }
  write_allocations(now);
  for (auto* m : affected)
    if (!respond_if_needed(now, *m, false)) stop_direct(now, *m);
}

// What is lost when this task is stopped for `job`: seconds of work times processors, or -1 where
// it may not or should not be stopped.
double Leader::loss_of(Ms now, const Placement& p, const JobState& job) const {
  // A task that cannot save loses all it has done. Stopping such tasks was measured: the waste cost
  // more than the guarantees gained, on both deployments.
  if (p.job->spec.checkpoint_s <= 0) return -1;
  if (p.stopping || p.stage == Stage::assigned || p.stage == Stage::saving || p.job == &job)
    return -1;
  const auto& team = teams_[static_cast<std::size_t>(p.job->team)];
  // a best-effort team's priority does not reach into what another team is guaranteed: that team
  // would stop the best-effort team's task for it at once, and the two took the capacity from each
  // other every few seconds until the day was over.
  const bool guaranteed =
      is_best_effort(job) && !is_best_effort(*p.job) && team.used_cpus <= team.cpus + 1e-9;
  const bool lower = p.job->priority < job.priority &&
                     (job.within_guarantee || (!p.job->within_guarantee && !guaranteed));
  // For a whole job within its team's guarantee whoever borrows gives way; for the part of a larger
  // job only best-effort teams do: among teams with guarantees it was measured to cost more, in
  // saving and moving, than it gave.
  const bool borrowed = (job.within_guarantee || (fits_guarantee(job) && is_best_effort(*p.job))) &&
                        !p.job->within_guarantee && p.job->team != job.team &&
                        team.used_cpus > team.cpus + 1e-9;
  if (!lower && !borrowed) return -1;
  const double run = run_time(*p.job);
  const double ran = ran_s(now, p);
  // Not what is nearly done, as far as the prediction can be trusted.
  if (ran > 0 && run - ran < kNearlyDoneS && ran < 2 * run) return -1;
  return p.job->spec.save_s * p.job->spec.cpus;
}

}  // namespace hitchfront::core
