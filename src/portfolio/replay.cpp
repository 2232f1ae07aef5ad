#include "portfolio/replay.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>

namespace hitchfront::portfolio {

double Size::share_of(const Size& whole) const {
  double s = 0;
  if (cpus > 0) s = std::max(s, whole.cpus > 0 ? cpus / whole.cpus : 1e9);
  if (gpus > 0) s = std::max(s, whole.gpus > 0 ? gpus / whole.gpus : 1e9);
  if (memory_gb > 0) s = std::max(s, whole.memory_gb > 0 ? memory_gb / whole.memory_gb : 1e9);
  return s;
}

std::uint32_t Size::count_in(const Size& free_capacity) const {
  double n = 1e6;
  if (cpus > 0) n = std::min(n, std::floor(free_capacity.cpus / cpus + kCapacityTolerance));
  if (gpus > 0) n = std::min(n, std::floor(free_capacity.gpus / gpus + kCapacityTolerance));
  if (memory_gb > 0)
    n = std::min(n, std::floor(free_capacity.memory_gb / memory_gb + kCapacityTolerance));
  return n <= 0 ? 0 : static_cast<std::uint32_t>(n);
}

SimMachine booting(const Offer& o) {
  SimMachine m;
  m.type = o.type;
  m.zone = o.zone;
  m.spot = o.spot;
  m.whole = m.free_capacity = o.size;
  m.up_in_s = o.boot_s;
  m.price = o.price;
  m.fetch_gb_per_s = o.fetch_gb_per_s;
  return m;
}

int best_offer(const SimJob& job, const std::vector<Offer>& offers) {
  int best = -1;
  double best_price = 0;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const auto& o = offers[i];
    if (o.free_capacity == 0 || !job.allows(o.type, o.zone, o.spot) || !job.size.fits(o.size))
      continue;
    const double price = o.price / job.size.count_in(o.size);
    if (best < 0 || price < best_price - 1e-12) {
      best = static_cast<int>(i);
      best_price = price;
    }
  }
  return best;
}

double utility(double job_time, double charged, double slowdown, const Params& p) {
  if (charged <= 0) charged = 1;  // nothing charged: compare by slowdown alone
  const double efficiency = job_time / charged;
  return p.kappa * std::pow(efficiency, p.alpha) * std::pow(1 / std::max(slowdown, 1.0), p.beta);
}

namespace {

struct Done {
  double at = 0;
  std::uint32_t machine = 0;
  int job = -1;  // -1: ran before the replay began
  int team = 0;
  std::uint32_t tasks = 0;
  Size size;
  bool operator>(const Done& o) const { return at > o.at; }
};

// What a pass costs depends on what ends in it and on the machines with capacity, not on the whole
// fleet: who has capacity, who is idle and what each type has free are kept up to date. Time goes
// in passes: whatever ends within one is taken together. tests/slow_replay.cpp plays the same the
// plain way.
class Replay {
 public:
  Replay(const Snapshot& s, const Policy& policy, const Params& params)
      : policy_(policy), p_(params), queue_(s.queue), offers_(s.offers), teams_(s.teams) {
    left_.reserve(queue_.size());
    std::uint64_t tasks = 0;
    for (const auto& j : queue_) {
      left_.push_back(j.tasks);
      tasks += j.tasks;
      least_.cpus = std::min(least_.cpus, j.size.cpus);
      least_.memory_gb = std::min(least_.memory_gb, j.size.memory_gb);
      if (j.tasks > 0) ++unplaced_;
    }
    machines_.reserve(s.machines.size() + 64);
    for (const auto& m : s.machines) add(m);
    pass_s_ = p_.pass_s * static_cast<double>(machines_.size() + tasks) / 1000;
    for (const auto& o : offers_)
      cheapest_ = cheapest_ <= 0 ? o.price : std::min(cheapest_, o.price);
    if (cheapest_ <= 0) cheapest_ = 1;
    best_.assign(queue_.size(), kUnknown);
  }

  // What the policy would rent right now, per offer.
  std::vector<std::uint32_t> scale_out_now() {
    std::vector<std::uint32_t> n;
    for (const auto& o : offers_) n.push_back(o.free_capacity);
    scale_out(0);
    for (std::size_t i = 0; i < n.size(); ++i) n[i] -= offers_[i].free_capacity;
    return n;
  }

  Outcome run() {
    double now = 0;
    while (true) {
      scale_out(now);
      place(now);
      double next = p_.horizon_s;
      if (!events_.empty()) next = std::min(next, events_.top().at);
      if (!ups_.empty()) next = std::min(next, ups_.top().first);
      if (unplaced_ > 0 && policy_.scale_out == ScaleOut::xfactor)
        next = std::min(next, next_xfactor(now));
      if (events_.empty() && unplaced_ == 0) break;
      // Idle machines leave at the end of their units; look again at the next one.
      if (next >= p_.horizon_s) break;
      give_back_until(next);
      now = next;
      const double until = next + pass_s_ + 1e-9;
      while (!events_.empty() && events_.top().at <= until) {
        now = std::max(now, events_.top().at);
        finish(events_.top());
        events_.pop();
      }
    }
    // What is still queued or running counts as done at the horizon.
    for (std::size_t j = 0; j < queue_.size(); ++j)
      if (left_[j] > 0) score(j, p_.horizon_s);
    for (auto& m : machines_)
      if (!m.gone) charge(m, std::max(now, m.busy_until));
    out_.slowdown = scored_ > 0 ? slowdown_sum_ / static_cast<double>(scored_) : 1;
    out_.utility = utility(out_.job_time, out_.charged, out_.slowdown, p_);
    return out_;
  }

 private:
  static constexpr int kUnknown = -2;
  struct M {
    const SimMachine* m;
    Size free_capacity;
    std::vector<int> images;
    double born = 0;  // time at which its age was 0 (may be before the replay)
    double up_at = 0, busy_until = 0;
    std::uint32_t tasks = 0;
    bool gone = false, open = false, idle = false;
    double share() const { return m->whole.cpus > 0 ? free_capacity.cpus / m->whole.cpus : 0; }
  };
  // Per type, ordinary and spot: machines' worth of free capacity, and machines. Closed ones don't
  // count.
  struct Sum {
    double free = 0, rented = 0;
  };
  Sum& sum_of(const SimMachine& m) {
    const auto at = static_cast<std::size_t>(m.type) * 2 + (m.spot ? 1 : 0);
    if (at >= sums_.size()) sums_.resize(at + 2);
    return sums_[at];
  }
  void change_free_capacity(M& m, const Size& size, double n) {
    const double before = m.share();
    m.free_capacity.add(size, n);
    if (!m.m->closed) sum_of(*m.m).free += m.share() - before;
  }
  void open(M& m, std::uint32_t index) {
    if (m.open || m.gone || m.m->closed || !least_.fits(m.free_capacity)) return;
    m.open = true;
    open_.push_back(index);
  }

  void add(const SimMachine& m, double now = 0) {
    M x{&m, m.free_capacity, m.images, now - m.age_s, now + m.up_in_s, now + m.up_in_s};
    const auto index = static_cast<std::uint32_t>(machines_.size());
    for (const auto& r : m.running) {
      events_.push({std::max(r.end_s, 0.0), index, -1, r.team, r.tasks, r.size});
      x.tasks += r.tasks;
      x.busy_until = std::max(x.busy_until, r.end_s);
      // What runs already is work too: without it, machines kept by running tasks would count as
      // pure cost, whatever the policy.
      out_.job_time += std::max(r.end_s, 0.0) * r.size.share_of(m.whole) * r.tasks;
    }
    if (!m.closed) {
      auto& sum = sum_of(m);
      sum.free += x.share();
      sum.rented += 1;
    }
    if (x.tasks == 0) {
      x.idle = true;
      idle_.push_back(index);
    }
    machines_.push_back(std::move(x));
    if (machines_.back().up_at > now)
      ups_.push({machines_.back().up_at, index});
    else
      open(machines_.back(), index);
    ++out_.steps;
  }

  double next_xfactor(double now) const {
    double next = p_.horizon_s;
    for (std::size_t j = 0; j < queue_.size(); ++j) {
      if (left_[j] == 0) continue;
      const double r = std::max(queue_[j].run_s, p_.slowdown_bound_s);
      const double at = (p_.odx_threshold - 1) * r - queue_[j].wait_s + 1e-6;
      if (at > now) next = std::min(next, at);
    }
    return next;
  }

  void scale_out(double now) {
    if (unplaced_ == 0) return;
    // Demand by the offer that suits each job best: machines are counted per type.
    bool any = false;
    demands_.resize(offers_.size());
    for (auto& d : demands_) d.clear();
    within_guarantee_.assign(offers_.size(), 0);
    for (std::size_t j = 0; j < queue_.size(); ++j) {
      ++out_.steps;
      if (left_[j] == 0) continue;
      const auto& job = queue_[j];
      if (best_[j] == kUnknown ||
          (best_[j] >= 0 && offers_[static_cast<std::size_t>(best_[j])].free_capacity == 0)) {
        best_[j] = best_offer(job, offers_);
        out_.steps += offers_.size();
      }
      const int o = best_[j];
      if (o < 0) continue;
      const auto n = allowed(job, left_[j]);
      if (n == 0) continue;
      const double share = n * job.size.share_of(offers_[static_cast<std::size_t>(o)].size);
      demands_[static_cast<std::size_t>(o)].push_back({share, job.wait_s + now, job.run_s});
      if (job.within_guarantee || job.aged)
        within_guarantee_[static_cast<std::size_t>(o)] += job.within_guarantee ? share : share / n;
      any = true;
    }
    if (!any) return;
    for (std::size_t i = 0; i < offers_.size(); ++i) {
      if (demands_[i].empty()) continue;
      auto& o = offers_[i];
      double free = 0, rented = 0;
      for (const bool spot : {false, true}) {
        const auto at = static_cast<std::size_t>(o.type) * 2 + (spot ? 1 : 0);
        if (at >= sums_.size() || (spot && !o.spot)) continue;
        free += sums_[at].free;
        rented += sums_[at].rented;
      }
      // What is owed by a guarantee is not the policy's to save on: no replay sees the jobs yet to
      // come, and to each of them the fleet's present work seems to make capacity in time.
      const double want =
          std::max(machines_wanted(policy_.scale_out, demands_[i], free, rented, rented - free, p_),
                   within_guarantee_[i] - free);
      auto n = static_cast<std::uint32_t>(std::max(0.0, std::ceil(want - 1e-6)));
      n = std::min(n, o.free_capacity);
      o.free_capacity -= n;
      if (n == 0) continue;
      const auto& m = rented_.emplace_back(booting(o));
      for (; n > 0; --n) add(m, now);
    }
  }

  // How many more tasks of the job its team's limit admits.
  std::uint32_t allowed(const SimJob& job, std::uint32_t n) const {
    const auto& t = teams_[static_cast<std::size_t>(job.team)];
    if (job.size.cpus > 0)
      n = static_cast<std::uint32_t>(std::clamp((t.cpus_max - t.used_cpus) / job.size.cpus + 1e-9,
                                                0.0, static_cast<double>(n)));
    if (job.size.gpus > 0)
      n = static_cast<std::uint32_t>(std::clamp((t.gpus_max - t.used_gpus) / job.size.gpus + 1e-9,
                                                0.0, static_cast<double>(n)));
    return n;
  }

  void place(double now) {
    for (; !ups_.empty() && ups_.top().first <= now + 1e-9; ups_.pop())
      open(machines_[ups_.top().second], ups_.top().second);
    std::erase_if(open_,
                  [this](std::uint32_t i) { return !(machines_[i].open = !machines_[i].gone); });
    if (unplaced_ == 0 || open_.empty()) return;
    // First fit goes by the machines' own order.
    if (policy_.choose == Choose::first_fit) std::sort(open_.begin(), open_.end());
    out_.steps += open_.size();
    order_.clear();
    for (std::size_t j = 0; j < queue_.size(); ++j) {
      if (left_[j] == 0) continue;
      const auto& job = queue_[j];
      const auto& team = teams_[static_cast<std::size_t>(job.team)];
      const bool within_guarantee =
          team.used_cpus + job.size.cpus <= team.cpus + kCapacityTolerance;
      order_.push_back({within_guarantee, job.priority,
                        order_key(policy_.order, job.wait_s + now, job.run_s, job.width), j});
    }
    out_.steps += queue_.size();
    std::sort(order_.begin(), order_.end());
    for (const auto& k : order_) {
      fill(k.job, now);
      if (open_.empty()) return;
    }
  }

  // A machine's rank for a job does not change as it fills: each is taken once, as full as it gets.
  void fill(std::size_t j, double now) {
    const auto& job = queue_[j];
    if (allowed(job, left_[j]) == 0) return;
    const auto suits = [&](const M& m) {
      return job.size.fits(m.free_capacity) && job.allows(m.m->type, m.m->zone, m.m->spot);
    };
    const auto take = [&](std::uint32_t i) {
      auto& m = machines_[i];
      const auto n = std::min(allowed(job, left_[j]), job.size.count_in(m.free_capacity));
      if (n > 0) start(j, m, i, n, now);
      return n > 0 && left_[j] > 0;
    };
    out_.steps += open_.size();
    if (policy_.choose == Choose::first_fit) {
      for (const auto i : open_)
        if (suits(machines_[i]) && !take(i)) break;
    } else {
      ranked_.clear();
      const double sign = policy_.choose == Choose::best_fit ? 1 : -1;
      for (const auto i : open_)
        if (suits(machines_[i]))
          ranked_.emplace_back(
              sign * left_after(now - machines_[i].born, job.run_s, p_.charge_unit_s), i);
      out_.steps += ranked_.size();
      std::make_heap(ranked_.begin(), ranked_.end(), std::greater<>());
      while (!ranked_.empty()) {
        std::pop_heap(ranked_.begin(), ranked_.end(), std::greater<>());
        const auto i = ranked_.back().second;
        ranked_.pop_back();
        if (!take(i)) break;
      }
    }
    std::erase_if(open_, [this](std::uint32_t i) {
      return !(machines_[i].open = least_.fits(machines_[i].free_capacity));
    });
  }

  void start(std::size_t j, M& m, std::uint32_t index, std::uint32_t n, double now) {
    const auto& job = queue_[j];
    ++out_.steps;
    double fetch = 0;
    if (std::find(m.images.begin(), m.images.end(), job.image) == m.images.end()) {
      fetch = job.image_gb / std::max(m.m->fetch_gb_per_s, 1e-3);
      m.images.push_back(job.image);
    }
    left_[j] -= n;
    change_free_capacity(m, job.size, -static_cast<double>(n));
    m.tasks += n;
    auto& t = teams_[static_cast<std::size_t>(job.team)];
    t.used_cpus += job.size.cpus * n;
    t.used_gpus += job.size.gpus * n;
    const double end = now + fetch + job.run_s;
    m.busy_until = std::max(m.busy_until, end);
    out_.job_time += job.run_s * n * job.size.share_of(m.m->whole);
    events_.push({end, index, static_cast<int>(j), job.team, n, job.size});
    if (left_[j] == 0) {
      --unplaced_;
      score(j, end);
    }
  }

  void finish(const Done& d) {
    auto& m = machines_[d.machine];
    ++out_.steps;
    change_free_capacity(m, d.size, d.tasks);
    m.tasks -= d.tasks;
    if (m.up_at <= d.at + 1e-9) open(m, d.machine);
    if (m.tasks == 0 && !m.idle) {
      m.idle = true;
      idle_.push_back(d.machine);
    }
    auto& t = teams_[static_cast<std::size_t>(d.team)];
    t.used_cpus -= d.size.cpus * d.tasks;
    t.used_gpus -= d.size.gpus * d.tasks;
  }

  // A job is scored when its last task starts, for it then ends at a known time.
  void score(std::size_t j, double end) {
    const auto& job = queue_[j];
    const double bound = std::max(job.run_s, p_.slowdown_bound_s);
    slowdown_sum_ += std::max(1.0, (job.wait_s + end) / bound);
    ++scored_;
  }

  double unit_end(const M& m, double from) const {
    const double age = std::max(from - m.born, 1e-9);
    return m.born + std::ceil(age / p_.charge_unit_s) * p_.charge_unit_s;
  }

  void charge(M& m, double until) {
    m.gone = true;
    if (!m.m->closed) {
      auto& sum = sum_of(*m.m);
      sum.free -= m.share();
      sum.rented -= 1;
    }
    // R_V in units begun from now on; what was paid before is the same under every policy. Spot and
    // ordinary machines and types differ in price, so time counts by price.
    const double from = std::max(0.0, m.born);
    const double end = std::max(unit_end(m, until), from);
    out_.charged += (end - from) * m.m->price / cheapest_;
  }

  // Idle machines leave when their charge unit ends before anything needs them.
  void give_back_until(double next) {
    out_.steps += idle_.size();
    std::erase_if(idle_, [&](std::uint32_t i) {
      auto& m = machines_[i];
      if (m.tasks == 0 && !m.gone) {
        const double idle_from = std::max(m.busy_until, 0.0);
        if (unit_end(m, idle_from) >= next) return false;
        charge(m, idle_from);
      }
      m.idle = false;
      return true;
    });
  }

  struct Key {
    bool within_guarantee;
    int priority;
    double key;
    std::size_t job;
    bool operator<(const Key& o) const {
      if (within_guarantee != o.within_guarantee) return within_guarantee;
      if (priority != o.priority) return priority > o.priority;
      if (key != o.key) return key > o.key;
      return job < o.job;
    }
  };

  const Policy policy_;
  const Params& p_;
  const std::vector<SimJob>& queue_;
  std::vector<Offer> offers_;
  std::vector<SimTeam> teams_;
  std::vector<M> machines_;
  std::deque<SimMachine> rented_;  // a kind of machine for each rental
  using Up = std::pair<double, std::uint32_t>;
  std::priority_queue<Up, std::vector<Up>, std::greater<>> ups_;  // when machines that boot come up
  std::vector<std::uint32_t> left_, open_, idle_;
  std::vector<std::pair<double, std::uint32_t>> ranked_;
  std::vector<Sum> sums_;
  std::vector<int> best_;  // offer for each job
  Size least_{1e18, 0, 1e18};
  std::size_t unplaced_ = 0;  // jobs with tasks left to place
  double pass_s_ = 0;
  std::vector<std::vector<Demand>> demands_;
  std::vector<double> within_guarantee_;  // machines that work within a guarantee needs, per offer
  std::vector<Key> order_;
  std::priority_queue<Done, std::vector<Done>, std::greater<>> events_;
  double cheapest_ = 0, slowdown_sum_ = 0;
  std::size_t scored_ = 0;
  Outcome out_;
};

}  // namespace

Outcome replay(const Snapshot& snapshot, const Policy& policy, const Params& params) {
  return Replay(snapshot, policy, params).run();
}

std::vector<std::uint32_t> scale_out_now(const Snapshot& snapshot, const Policy& policy,
                                         const Params& params) {
  return Replay(snapshot, policy, params).scale_out_now();
}

}  // namespace hitchfront::portfolio
