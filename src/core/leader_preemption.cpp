#include "core/leader.hpp"

#include <algorithm>
#include <cmath>

#include "core/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Size;

// Frees room for work within a guarantee or of higher priority (PROTOCOL, "Preemption").
void Leader::preempt(Ms now) {
  if (now < next_preempt_ || !loaded_) return;
  next_preempt_ = now + kPreemptMs;
  const auto guaranteed = guaranteed_jobs();
  std::vector<JobState*> wanting;
  for (auto& [id, job] : jobs_)
    if (job->active() && job->waiting > 0 && job->team >= 0 && now >= job->not_before &&
        (guaranteed.contains(job->index) || job->spec.priority > wire::Priority::low))
      wanting.push_back(job.get());
  if (wanting.empty()) return;
  std::sort(wanting.begin(), wanting.end(), [&](const JobState* a, const JobState* b) {
    const bool ga = guaranteed.contains(a->index), gb = guaranteed.contains(b->index);
    if (ga != gb) return ga;
    if (a->spec.priority != b->spec.priority) return a->spec.priority > b->spec.priority;
    return a->seen < b->seen;
  });
  // For each task that finds no room: the machine where making room loses least. The task is
  // assigned there at once, which reserves the room, and launched when the victims are gone. Freeing
  // room without reserving it was tried first: small tasks refilled the fragments, and the same
  // large job had others stopped again and again.
  std::set<Machine*> told;
  for (auto* job : wanting) {
    const auto& team = teams_[static_cast<std::size_t>(job->team)];
    const bool owed = guaranteed.contains(job->index);
    const Size size = size_of(job->spec);
    while (job->waiting > 0 && team.used_cpus + size.cpus <= team.cpus_max + 1e-9 &&
           (size.gpus <= 0 || team.used_gpus + size.gpus <= team.gpus_max + 1e-9)) {
      Machine* best = nullptr;
      std::vector<Placement*> best_victims;
      double best_loss = 0;
      for (auto& [name, m] : machines_) {
        if (!usable(now, *m) || !allowed_on(*job, *m) || !size.fits(m->whole))
          continue;
        std::vector<std::pair<double, Placement*>> victims;
        for (auto& [key, p] : m->tasks) {
          const double loss = loss_of(now, p, *job, owed, guaranteed);
          if (loss >= 0) victims.push_back({loss, &p});
        }
        std::sort(victims.begin(), victims.end(), [](const auto& x, const auto& y) { return x.first < y.first; });
        Size room = m->room;
        std::vector<Placement*> chosen;
        double loss = 0;
        for (auto& [l, p] : victims) {
          if (size.fits(room)) break;
          room.add(size_of(p->job->spec));
          loss += l;
          chosen.push_back(p);
        }
        if (!size.fits(room) || (best != nullptr && loss >= best_loss)) continue;
        best = m.get();
        best_victims = std::move(chosen);
        best_loss = loss;
      }
      if (best == nullptr) break;
      for (auto* p : best_victims) {
        p->stopping = true;
        p->grace_s = p->job->spec.save_s + kGraceSpareS;
        // What is being stopped frees its room now in the books; the launch waits for the facts.
        best->room.add(size_of(p->job->spec));
        p->room_given = true;
      }
      log(Level::info, "making room on " + best->name + " for " + job->spec.id + ", " +
                           std::to_string(best_victims.size()) + " tasks stop");
      assign(now, *job, *best, static_cast<std::uint32_t>(job->next_waiting()));
      told.insert(best);
    }
    if (job->mark_wanted > job->mark) persist(now, *job);
  }
  for (auto* m : told)
    if (!answer(now, *m, false)) stop_direct(now, *m);
}

// What is lost when this task is stopped for `job`: seconds of work times processors, or -1 where it
// may not or should not be stopped.
double Leader::loss_of(Ms now, const Placement& p, const JobState& job, bool owed,
                       const std::unordered_set<std::uint64_t>& guaranteed) const {
  if (p.stopping || p.stage == Stage::assigned || p.stage == Stage::saving || p.job == &job) return -1;
  const auto& team = teams_[static_cast<std::size_t>(p.job->team)];
  const bool safe = guaranteed.contains(p.job->index);
  const bool lower = p.job->spec.priority < job.spec.priority && (owed || !safe);
  const bool borrowed = owed && !safe && p.job->team != job.team && team.used_cpus > team.cpus + 1e-9;
  if (!lower && !borrowed) return -1;
  const double run = run_time(*p.job);
  const double ran = ran_s(now, p);
  // A task that cannot save loses all it has done. Stopping such tasks was measured: the waste cost
  // more than the guarantees gained, on both deployments.
  if (p.job->spec.checkpoint_s <= 0) return -1;
  // Not what is nearly done, as far as the prediction can be trusted.
  if (ran > 0 && run - ran < kNearlyDoneS && ran < 2 * run) return -1;
  return p.job->spec.save_s * p.job->spec.cpus;
}

}  // namespace hitchfront::core
