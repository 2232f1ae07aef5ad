#include <algorithm>
#include <cmath>

#include "aging/aging.hpp"
#include "leader/leader.hpp"
#include "leader/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Size;

double Leader::ran_s(Ms now, const Placement& p) {
  return p.run_since == 0 ? 0 : static_cast<double>(now - p.run_since) / 1000;
}

// Past its prediction a task is expected to take as long again as a quarter of what it ran.
double Leader::left_s(double run_s, double ran_s) {
  return ran_s < run_s ? run_s - ran_s : ran_s / 4;
}

double Leader::price_of(const Machine& m) const {
  const auto& type = types_[static_cast<std::size_t>(m.type)];
  return m.spot ? type.spot_price : type.price;
}

// Type, kind and zone; not whether there is capacity.
bool Leader::allowed_on(const JobState& job, const Machine& m) const {
  return m.type >= 0 && (job.types >> m.type & 1) != 0 && (job.spec.spot || !m.spot) &&
         zone_allows(job, m.zone);
}

double Leader::run_time(const JobState& job) const {
  // Tasks of this very job that have completed tell more than other jobs do.
  if (job.run_count > 0) return std::max(1.0, job.run_sum_s / job.run_count);
  return std::max(1.0, predictor_.predict(job.owner, job.spec.estimate_s));
}

// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
void Leader::update_within_guarantee() {
  std::vector<JobState*> order;
  for (const auto& [id, job] : jobs_) {
    job->within_guarantee = false;
    // What a quarantined job still wants is one try at a time: no capacity need be made or kept for
    // it.
    if (job->active() && job->team >= 0 && !failure_attribution_.is_quarantined(job->index))
      order.push_back(job.get());
  }
  std::sort(order.begin(), order.end(), [](const JobState* a, const JobState* b) {
    return a->accepted_ms != b->accepted_ms ? a->accepted_ms < b->accepted_ms
                                            : a->spec.id < b->spec.id;
  });
  std::vector<double> cpus(teams_.size()), gpus(teams_.size());
  for (auto* j : order) {
    const auto t = static_cast<std::size_t>(j->team);
    cpus[t] += j->spec.cpus * j->unfinished();
    gpus[t] += j->spec.gpus * j->unfinished();
    j->within_guarantee = cpus[t] <= teams_[t].cpus + 1e-9 && gpus[t] <= teams_[t].gpus + 1e-9;
  }
}

bool Leader::zone_allows(const JobState& job, int zone) const {
  if (job.zone >= 0 && job.zone != zone) return false;
  if (zone < 0) return false;
  if (job.spec.one_zone) {
    if (job.unknown > 0) return false;  // nobody knows yet where its tasks are
    for (std::size_t z = 0; z < job.per_zone.size(); ++z)
      if (static_cast<int>(z) != zone && job.per_zone[z] > 0) return false;
  }
  if (job.spec.spread) {
    const auto most = (job.spec.tasks + 1) / 2;
    if (job.per_zone[static_cast<std::size_t>(zone)] + job.unknown + 1 > most) return false;
  }
  return true;
}

bool Leader::in_limit(const JobState& job) const {
  constexpr double eps = 1e-9;
  const auto& team = teams_[static_cast<std::size_t>(job.team)];
  return team.used_cpus + job.spec.cpus <= team.cpus_max + eps &&
         (job.spec.gpus <= 0 || team.used_gpus + job.spec.gpus <= team.gpus_max + eps);
}

// Its team is guaranteed nothing and takes what the others leave. Where nobody is guaranteed
// anything there are no best-effort teams: a deployment of one team without guarantee had all its
// launch watermark wait behind everything else, for half a minute. A job whose turn has come needs
// more of its team's limit than is free at any moment: what comes free is kept for it, or smaller
// jobs of the team would take it piece by piece for as long as they arrive.
bool Leader::held_back(const JobState& job) const {
  const auto held = teams_[static_cast<std::size_t>(job.team)].held_for;
  return held != 0 && held != job.index && !job.within_guarantee;
}

bool Leader::is_best_effort(const JobState& job) const {
  const auto& team = teams_[static_cast<std::size_t>(job.team)];
  return quota_guarantees_ && team.cpus <= 0 && team.gpus <= 0;
}

// One more task of the job is within what its team is guaranteed, counting what the team uses now.
// A job that as a whole is beyond the guarantee still has a right to this part of it: found on the
// bench, where a best-effort team's long tasks held the fleet while teams with hundreds of waiting
// processors used a tenth of what they are guaranteed.
bool Leader::fits_guarantee(const JobState& job) const {
  constexpr double eps = 1e-9;
  const auto& team = teams_[static_cast<std::size_t>(job.team)];
  return team.used_cpus + job.spec.cpus <= team.cpus + eps &&
         (job.spec.gpus <= 0 || team.used_gpus + job.spec.gpus <= team.gpus + eps);
}

// The paper has one machine type, idle whole; here machines differ in price and take several tasks.
// Slow machines are used last. The cheaper machine goes first, so that dearer ones run empty and
// can be returned; then one that has the image; then the policy. First fit, which makes no
// distinction, takes the fullest. A machine's merit for a job does not fall as the job's tasks fill
// it, so each is ranked once and filled before the next: the same places as looking at every
// machine for each task.
void Leader::fill(Ms now, JobState& job, std::vector<Machine*>& open, std::uint32_t most) {
  struct Merit {
    bool slow, far;  // far: without the image
    double price, policy;
    std::uint32_t at;
  };
  const Size size = size_of(job.spec);
  const double run = run_time(job);
  if (!in_limit(job)) return;
  // A job that has failed on several machines and completed nowhere is tried one task at a time.
  const bool quarantined = failure_attribution_.is_quarantined(job.index);
  std::uint32_t tries = !quarantined                   ? std::min(most, job.waiting)
                        : job.placed + job.unknown > 0 ? 0
                                                       : 1;
  if (tries == 0) return;
  const auto* avoided = failure_attribution_.avoided(job.index);
  std::vector<Merit> merits;
  for (std::uint32_t i = 0; i < open.size(); ++i) {
    const auto* m = open[i];
    if (!size.fits(m->free_capacity) || (m->reserved_for != 0 && m->reserved_for != job.index) ||
        !allowed_on(job, *m))
      continue;
    if (avoided != nullptr && avoided->contains(m->name)) continue;
    Merit r{};
    r.slow = m->pace > kSlowPace;
    r.price = price_of(*m) * size.share_of(m->whole);
    r.far = std::find(m->images.begin(), m->images.end(), job.image) == m->images.end();
    // The fetch is paid like the run, and what goes first is late by it.
    if (r.far) {
      const double fetch = job.spec.image_gb /
                           std::max(types_[static_cast<std::size_t>(m->type)].fetch_gb_per_s, 1e-3);
      r.price *= 1 + fetch / run * (job.priority > wire::Priority::normal ? kFarUrgent : 1);
    }
    if (policy_.choose == portfolio::Choose::first_fit) {
      r.policy = m->free_capacity.share_of(m->whole);
    } else {
      r.policy = portfolio::left_after(static_cast<double>(now - m->born) / 1000, run,
                                       params_.charge_unit_s);
      if (policy_.choose == portfolio::Choose::worst_fit) r.policy = -r.policy;
    }
    r.at = i;
    merits.push_back(r);
  }
  work_ += open.size() + merits.size();
  const auto worse = [](const Merit& a, const Merit& b) {
    if (a.slow != b.slow) return a.slow;
    if (std::abs(a.price - b.price) > 1e-9) return a.price > b.price;
    if (a.far != b.far) return a.far;
    if (a.policy != b.policy) return a.policy > b.policy;
    return a.at > b.at;
  };
  std::make_heap(merits.begin(), merits.end(), worse);
  Machine* barred = nullptr;
  while (!merits.empty() && tries > 0) {
    std::pop_heap(merits.begin(), merits.end(), worse);
    auto& m = *open[merits.back().at];
    merits.pop_back();
    // Zones may have closed to the job with its own last task.
    while (tries > 0 && size.fits(m.free_capacity) && in_limit(job) && allowed_on(job, m) &&
           m.tasks.size() < machine_tasks_most(platform_)) {
      const auto task = job.next_waiting();
      if (task < 0) return;
      // Another attempt of it may still be launched here, for as long as the incarnation lasts.
      if (m.in_flight.of_task({job.index, static_cast<std::uint32_t>(task)})) {
        barred = &m;
        break;
      }
      assign(now, job, m, static_cast<std::uint32_t>(task));
      --tries;
      ++work_;
    }
    if (!in_limit(job)) return;
  }
  // Nowhere else: the machine gets nothing more and is returned once it is empty, and another is
  // rented. A task once waited for 100 s beside an empty machine that was barred to its job and
  // passed for capacity.
  if (barred != nullptr && tries > 0) barred->draining = true;
}

// Work within a guarantee that finds no capacity has machines kept for it, those that will have
// capacity first: otherwise small tasks of later jobs take every piece of capacity as it comes
// free, and a task that needs a whole machine waits for as long as they keep arriving. Machines are
// ordered once for all jobs that ask for the same. What is placed since can only make a machine's
// capacity come later, so each is looked at again when it is its turn: the same machines as
// ordering them anew for each job, which took two thirds of the processor time of a day on which a
// thousand machines fall and everything waits.
void Leader::reserve(Ms now, const JobState& job, Ends& ends, std::uint32_t most) {
  // Machines are ordered anew for each job that asks for another size; where all are kept already,
  // for nothing. Ordering was half of a leader's processor time on a simulated fleet of 5,084
  // machines with work waiting.
  if (ends.unreserved == 0) return;
  const Size size = size_of(job.spec);
  const bool alone = job.spec.one_zone || job.spec.spread;
  const auto later = [](const Ends::Offer& a, const Ends::Offer& b) {
    return a.when != b.when ? a.when > b.when : a.at > b.at;
  };
  const auto [it, first] =
      ends.offers.try_emplace({size.cpus, size.gpus, size.memory_gb, job.types, job.spec.spot,
                               job.zone, alone ? job.index : 0});
  auto& offers = it->second;
  if (first) {
    for (std::uint32_t at = 0; at < ends.fleet.size(); ++at) {
      const auto* m = ends.fleet[at];
      if (m->reserved_for == 0 && size.fits(m->whole) && allowed_on(job, *m))
        offers.push_back({free_at(now, ends, at, size), at});
    }
    work_ += ends.fleet.size();
    std::make_heap(offers.begin(), offers.end(), later);
  }
  std::uint32_t need = std::min(most, job.waiting);
  while (need > 0 && !offers.empty()) {
    std::pop_heap(offers.begin(), offers.end(), later);
    const auto offer = offers.back();
    offers.pop_back();
    auto* m = ends.fleet[offer.at];
    if (m->reserved_for != 0) continue;
    ++work_;
    if (const double when = free_at(now, ends, offer.at, size); when > offer.when) {
      offers.push_back({when, offer.at});
      std::push_heap(offers.begin(), offers.end(), later);
      continue;
    }
    m->reserved_for = job.index;
    --ends.unreserved;
    need -= std::min(need, std::max(1U, size.count_in(m->whole)));
  }
}

// Seconds until the machine has capacity for it, by the predicted ends of its tasks.
double Leader::free_at(Ms now, Ends& ends, std::uint32_t at, const Size& size) {
  const auto* m = ends.fleet[at];
  auto& e = ends.of[at];
  if (!e.known) {
    e.known = true;
    for (const auto& [key, p] : m->tasks)
      e.tasks.push_back({left_s(run_time(*p.job), ran_s(now, p)), size_of(p.job->spec)});
    std::sort(e.tasks.begin(), e.tasks.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    work_ += e.tasks.size();
  }
  Size free_capacity = m->free_capacity;
  double when = 0;
  for (const auto& [end, s] : e.tasks) {
    if (size.fits(free_capacity)) break;
    free_capacity.add(s);
    when = end;
  }
  return when;
}

void Leader::has_image(Machine& m, int image) {
  std::erase(m.images, image);
  m.images.push_back(image);
  if (m.images.size() > kImagesKnown) m.images.erase(m.images.begin());
}

void Leader::assign(Ms now, JobState& job, Machine& m, std::uint32_t task) {
  Placement p;
  p.since = now;
  p.recorded = !allocation_log_enabled_;
  occupy(m, job, task, p);
  if (allocation_log_enabled_) allocation_log_.needed(now, m.name);
  has_image(m, job.image);
  if (task >= job.wanted_watermark) {
    // Stored before the first launch beyond it; four times as far, so that a large job costs few
    // writes while a new leader still need not doubt tasks that were never launched.
    job.wanted_watermark =
        std::min(job.spec.tasks, std::max({task + 1, 4 * job.wanted_watermark, kInitialWatermark}));
  }
}

// Its deadline can't be met any more, however many of its tasks its team's limit lets run at once.
bool Leader::late(const JobState& job, double since_submission_s) const {
  if (!job.spec.deadline_s) return false;
  const auto& team = teams_[static_cast<std::size_t>(job.team)];
  const double rounds = std::max(
      1.0, std::ceil(job.waiting * job.spec.cpus / std::max(team.cpus_max, job.spec.cpus)));
  return since_submission_s + rounds * run_time(job) > *job.spec.deadline_s;
}

// Placement once for a batch of changes: what it costs decides how soon the next may follow.
// Reports of machines with capacity are held meanwhile, and are answered with what is placed then.
void Leader::schedule(Ms now) {
  if (!loaded_ || !dirty_ || now < next_place_) return;
  const auto before = work_;
  place(now);
  const double ms = static_cast<double>(work_ - before) / std::max(steps_per_ms_, 1.0);
  out_.metrics().add(telemetry::Count::placement_work, static_cast<double>(work_ - before));
  next_place_ = now + std::min(kPlaceMostMs, static_cast<Ms>(ms / (platform_.cores * kPlaceShare)));
}

void Leader::place(Ms now) {
  std::vector<Machine*> open;
  Ends ends;
  for (auto* m : fleet_) {
    m->reserved_for = 0;
    if (usable(now, *m)) {
      ends.fleet.push_back(m);
      if (m->free_capacity.cpus > 0 || m->free_capacity.gpus > 0) open.push_back(m);
    } else if (m->assigned > 0) {
      // Assignments to machines that have fallen silent or are leaving go back to the queue.
      for (auto it = m->tasks.begin(); it != m->tasks.end();) {
        const auto next = std::next(it);
        if (it->second.stage == Stage::assigned) vacate(*m, it);
        it = next;
      }
    }
  }
  ends.of.resize(ends.fleet.size());
  ends.unreserved = ends.fleet.size();
  work_ += fleet_.size();
  dirty_ = false;

  constexpr std::uint32_t kAll = UINT32_MAX;
  struct Key {
    bool best_effort, late;
    double key;
    JobState* job;
    aging::Turn turn = aging::Turn::usual;  // for `most` tasks
    std::uint32_t most = kAll;
    bool aside = false;
  };
  std::vector<Key> order;
  std::vector<aging::Waiting> waiting;
  for (auto& t : teams_) t.held_for = 0;
  update_within_guarantee();
  for (auto& [id, job] : jobs_) {
    if (!job->active() || job->waiting == 0 || job->team < 0 || now < job->not_before) continue;
    const double wait = static_cast<double>(now - job->seen) / 1000;
    order.push_back(
        {is_best_effort(*job), late(*job, static_cast<double>(now - job->submitted) / 1000),
         portfolio::order_key(policy_.order, wait, run_time(*job), job->spec.tasks), job.get()});
    waiting.push_back({order.size() - 1, wait, has_begun(*job), job->within_guarantee});
  }
  for (const auto& g : aging::turns(waiting, fleet_.size(), {kAgedS, kDueS, kAsideShare})) {
    auto first = order[g.job];
    first.turn = g.turn;
    first.most = 1;
    first.aside = g.aside;
    order.push_back(first);
  }
  work_ += jobs_.size();
  std::sort(order.begin(), order.end(), [](const Key& a, const Key& b) {
    if (a.job->within_guarantee != b.job->within_guarantee) return a.job->within_guarantee;
    const bool a_due = a.turn == aging::Turn::due, b_due = b.turn == aging::Turn::due;
    if (a_due != b_due) return a_due;
    if (a.job->priority != b.job->priority) return a.job->priority > b.job->priority;
    if (a.turn != b.turn) return a.turn > b.turn;
    if (a.turn != aging::Turn::usual && a.job->seen != b.job->seen)
      return a.job->seen < b.job->seen;
    if (a.best_effort != b.best_effort) return b.best_effort;
    if (a.late != b.late) return b.late;
    if (a.key != b.key) return a.key > b.key;
    return a.job->index < b.job->index;
  });
  for (auto& k : order) {
    auto& job = *k.job;
    if (held_back(job)) continue;
    const auto before = job.waiting;
    fill(now, job, open, k.most);
    if (k.turn != aging::Turn::usual && job.waiting == before) {
      if (!in_limit(job))
        teams_[static_cast<std::size_t>(job.team)].held_for = job.index;
      else if (k.aside)
        reserve(now, job, ends, 1);
    }
    if (job.within_guarantee && job.waiting > 0 && in_limit(job)) reserve(now, job, ends, kAll);
    if (job.waiting != before)
      std::erase_if(open, [](const Machine* m) {
        return m->free_capacity.cpus < 1e-9 && m->free_capacity.gpus < 1e-9;
      });
    if (job.wanted_watermark > job.launch_watermark) persist(now, job);
  }
  write_allocations(now);
  for (auto* m : fleet_)
    if (m->held && m->assigned > 0) respond_if_needed(now, *m, false);
}

}  // namespace hitchfront::core
