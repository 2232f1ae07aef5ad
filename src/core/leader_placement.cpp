#include "core/leader.hpp"

#include <algorithm>
#include <cmath>

#include "core/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Size;

double Leader::ran_s(Ms now, const Placement& p) {
  return p.run_since == 0 ? 0 : static_cast<double>(now - p.run_since) / 1000;
}

// Past its prediction a task is expected to take as long again as a quarter of what it ran.
double Leader::left_s(double run_s, double ran_s) { return ran_s < run_s ? run_s - ran_s : ran_s / 4; }

double Leader::price_of(const Machine& m) const {
  const auto& type = types_[static_cast<std::size_t>(m.type)];
  return m.spot ? type.spot_price : type.price;
}

// Type, kind and zone; not whether there is room.
bool Leader::allowed_on(const JobState& job, const Machine& m) const {
  return m.type >= 0 && (job.types >> m.type & 1) != 0 && (job.spec.spot || !m.spot) && zone_allows(job, m.zone);
}

double Leader::run_time(const JobState& job) const {
  // Tasks of this very job that have completed tell more than other jobs do.
  if (job.run_count > 0) return std::max(1.0, job.run_sum_s / job.run_count);
  return std::max(1.0, predictor_.predict(owner_of(job.spec), job.spec.estimate_s));
}

// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
std::unordered_set<std::uint64_t> Leader::guaranteed_jobs() const {
  std::vector<const JobState*> order;
  for (const auto& [id, job] : jobs_)
    if (job->active() && job->team >= 0) order.push_back(job.get());
  std::sort(order.begin(), order.end(), [](const JobState* a, const JobState* b) {
    return a->accepted_ms != b->accepted_ms ? a->accepted_ms < b->accepted_ms : a->spec.id < b->spec.id;
  });
  std::vector<double> cpus(teams_.size()), gpus(teams_.size());
  std::unordered_set<std::uint64_t> out;
  for (const auto* j : order) {
    const auto t = static_cast<std::size_t>(j->team);
    cpus[t] += j->spec.cpus * j->unfinished();
    gpus[t] += j->spec.gpus * j->unfinished();
    if (cpus[t] <= teams_[t].cpus + 1e-9 && gpus[t] <= teams_[t].gpus + 1e-9) out.insert(j->index);
  }
  return out;
}

bool Leader::zone_allows(const JobState& job, int zone) const {
  if (job.zone >= 0 && job.zone != zone) return false;
  if (zone < 0) return false;
  if (job.spec.one_zone) {
    if (job.doubt > 0) return false;  // nobody knows yet where its tasks are
    for (std::size_t z = 0; z < job.per_zone.size(); ++z)
      if (static_cast<int>(z) != zone && job.per_zone[z] > 0) return false;
  }
  if (job.spec.spread) {
    const auto most = (job.spec.tasks + 1) / 2;
    if (job.per_zone[static_cast<std::size_t>(zone)] + job.doubt + 1 > most) return false;
  }
  return true;
}

// The paper has one machine type, idle whole; here machines differ in price and take several tasks.
// Slow machines are used last. The cheaper machine goes first, so that dearer ones run empty and can be returned; then one that
// has the image; then the policy. First fit, which makes no distinction, takes the fullest.
Leader::Machine* Leader::choose(Ms now, const JobState& job) {
  Machine* best = nullptr;
  struct Merit {
    bool slow;
    double price;
    bool image;
    double policy;
  } best_merit{};
  const Size size = size_of(job.spec);
  const double run = run_time(job);
  for (auto& [name, m] : machines_) {
    if (!usable(now, *m) || !size.fits(m->room)) continue;
    if (!allowed_on(job, *m)) continue;
    if (m->reserved_for != 0 && m->reserved_for != job.index) continue;
    Merit r{};
    r.slow = m->pace > kSlowPace;
    r.price = price_of(*m) * size.share_of(m->whole);
    r.image = std::find(m->images.begin(), m->images.end(), job.image) != m->images.end();
    if (policy_.choose == portfolio::Choose::first_fit) {
      r.policy = m->room.share_of(m->whole);
    } else {
      r.policy = portfolio::left_after(static_cast<double>(now - m->born) / 1000, run, params_.charge_unit_s);
      if (policy_.choose == portfolio::Choose::worst_fit) r.policy = -r.policy;
    }
    const bool better = best == nullptr || (r.slow != best_merit.slow ? best_merit.slow
                                            : std::abs(r.price - best_merit.price) > 1e-9
                                                ? r.price < best_merit.price
                                            : r.image != best_merit.image ? r.image
                                                                          : r.policy < best_merit.policy);
    if (!better) continue;
    best = m.get();
    best_merit = r;
  }
  return best;
}

// Work within a guarantee that finds no room has machines kept for it, those that will have room
// first: otherwise small tasks of later jobs take every piece of room as it comes free, and a task
// that needs a whole machine waits for as long as they keep arriving.
void Leader::reserve(Ms now, const JobState& job) {
  const Size size = size_of(job.spec);
  std::uint32_t need = job.waiting;
  while (need > 0) {
    Machine* best = nullptr;
    double best_at = 0;
    for (auto& [name, m] : machines_) {
      if (m->reserved_for != 0 || !usable(now, *m) || !size.fits(m->whole)) continue;
      if (!allowed_on(job, *m)) continue;
      std::vector<std::pair<double, Size>> ends;
      for (const auto& [key, p] : m->tasks) {
        const double run = run_time(*p.job);
        const double ran = ran_s(now, p);
        ends.push_back({left_s(run, ran), size_of(p.job->spec)});
      }
      std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
      Size room = m->room;
      double when = 0;
      for (const auto& [end, s] : ends) {
        if (size.fits(room)) break;
        room.add(s);
        when = end;
      }
      if (best != nullptr && when >= best_at) continue;
      best = m.get();
      best_at = when;
    }
    if (best == nullptr) return;
    best->reserved_for = job.index;
    need -= std::min(need, std::max(1U, size.count_in(best->whole)));
  }
}

void Leader::assign(Ms now, JobState& job, Machine& m, std::uint32_t task) {
  Placement p;
  p.since = now;
  occupy(m, job, task, p);
  std::erase(m.images, job.image);
  m.images.push_back(job.image);
  if (m.images.size() > kImagesKnown) m.images.erase(m.images.begin());
  if (task >= job.mark_wanted) {
    // Stored before the first launch beyond it; doubled, so that a large job costs few writes while
    // a new leader still need not doubt tasks that were never launched.
    job.mark_wanted = std::min(job.spec.tasks, std::max({task + 1, 2 * job.mark_wanted, 32U}));
  }
}

void Leader::schedule(Ms now) {
  if (!loaded_ || !dirty_) return;
  dirty_ = false;
  // Assignments to machines that have fallen silent or are leaving go back to the queue.
  for (auto& [name, m] : machines_) {
    if (usable(now, *m)) continue;
    for (auto it = m->tasks.begin(); it != m->tasks.end();) {
      const auto next = std::next(it);
      if (it->second.stage == Stage::assigned) vacate(*m, it);
      it = next;
    }
  }
  dirty_ = false;

  struct Key {
    bool owed;
    int priority;
    double key;
    JobState* job;
  };
  std::vector<Key> order;
  const auto guaranteed = guaranteed_jobs();
  for (auto& [id, job] : jobs_) {
    if (!job->active() || job->waiting == 0 || job->team < 0 || now < job->not_before) continue;
    const double wait = static_cast<double>(now - job->seen) / 1000;
    order.push_back({guaranteed.contains(job->index), static_cast<int>(job->spec.priority),
                     portfolio::order_key(policy_.order, wait, run_time(*job), job->spec.tasks), job.get()});
  }
  std::sort(order.begin(), order.end(), [](const Key& a, const Key& b) {
    if (a.owed != b.owed) return a.owed;
    if (a.priority != b.priority) return a.priority > b.priority;
    if (a.key != b.key) return a.key > b.key;
    return a.job->index < b.job->index;
  });
  for (auto& [name, m] : machines_) m->reserved_for = 0;
  constexpr double eps = 1e-9;
  for (auto& k : order) {
    auto& job = *k.job;
    const auto& team = teams_[static_cast<std::size_t>(job.team)];
    // A job whose tasks fail gets one machine's worth of tries at a time.
    int tries = job.failures > 2 ? 1 : 1 << 20;
    while (tries-- > 0) {
      if (team.used_cpus + job.spec.cpus > team.cpus_max + eps) break;
      if (job.spec.gpus > 0 && team.used_gpus + job.spec.gpus > team.gpus_max + eps) break;
      const auto task = job.next_waiting();
      if (task < 0) break;
      auto* m = choose(now, job);
      if (m == nullptr) {
        if (k.owed) reserve(now, job);
        break;
      }
      assign(now, job, *m, static_cast<std::uint32_t>(task));
    }
    if (job.mark_wanted > job.mark) persist(now, job);
  }
  for (auto& [name, m] : machines_)
    if (m->held) answer(now, *m, false);
}

}  // namespace hitchfront::core
