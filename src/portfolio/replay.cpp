#include "portfolio/replay.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>

namespace hitchfront::portfolio {

double Resources::dominant_share_of(const Resources& capacity) const {
  double s = 0;
  if (cpus > 0) s = std::max(s, capacity.cpus > 0 ? cpus / capacity.cpus : 1e9);
  if (gpus > 0) s = std::max(s, capacity.gpus > 0 ? gpus / capacity.gpus : 1e9);
  if (memory_gb > 0) s = std::max(s, capacity.memory_gb > 0 ? memory_gb / capacity.memory_gb : 1e9);
  return s;
}

std::uint32_t Resources::count_fitting_in(const Resources& free_capacity) const {
  double n = 1e6;
  if (cpus > 0) n = std::min(n, std::floor(free_capacity.cpus / cpus + kCapacityTolerance));
  if (gpus > 0) n = std::min(n, std::floor(free_capacity.gpus / gpus + kCapacityTolerance));
  if (memory_gb > 0)
    n = std::min(n, std::floor(free_capacity.memory_gb / memory_gb + kCapacityTolerance));
  return n <= 0 ? 0 : static_cast<std::uint32_t>(n);
}

SimMachine make_booting_machine(const Offer& o) {
  SimMachine m;
  m.type = o.type;
  m.zone = o.zone;
  m.spot = o.spot;
  m.capacity = m.free_capacity = o.size;
  m.remaining_boot_s = o.boot_s;
  m.price = o.price;
  m.fetch_gb_per_s = o.fetch_gb_per_s;
  return m;
}

int cheapest_offer(const SimJob& job, const std::vector<Offer>& offers) {
  int best = -1;
  double best_price = 0;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const auto& o = offers[i];
    if (o.free_capacity == 0 || !job.allows(o.type, o.zone, o.spot) || !job.size.fits(o.size))
      continue;
    const double price = o.price / job.size.count_fitting_in(o.size);
    if (best < 0 || price < best_price - 1e-12) {
      best = static_cast<int>(i);
      best_price = price;
    }
  }
  return best;
}

double utility(double job_time, double charged, double slowdown, const PolicyParams& p) {
  if (charged <= 0) charged = 1;  // compares by slowdown alone
  const double efficiency = job_time / charged;
  return p.kappa * std::pow(efficiency, p.alpha) * std::pow(1 / std::max(slowdown, 1.0), p.beta);
}

namespace {

struct TaskEnd {
  double at = 0;
  std::uint32_t machine = 0;
  int job = -1;  // -1: running when the replay began
  int team = 0;
  std::uint32_t tasks = 0;
  Resources size;
  bool operator>(const TaskEnd& o) const { return at > o.at; }
};

// Discrete-event simulation in passes: tasks that end within one pass are processed together. The
// cost of a pass depends on these tasks and on the machines with free capacity, not on the size of
// the fleet: available machines, idle machines and the totals per type are updated incrementally.
// tests/slow_replay.cpp is the reference implementation.
class Replay {
 public:
  Replay(const Snapshot& s, const Policy& policy, const PolicyParams& params)
      : policy_(policy), params_(params), queue_(s.queue), offers_(s.offers), teams_(s.teams) {
    unplaced_tasks_.reserve(queue_.size());
    std::uint64_t tasks = 0;
    for (const auto& j : queue_) {
      unplaced_tasks_.push_back(j.tasks);
      tasks += j.tasks;
      min_request_.cpus = std::min(min_request_.cpus, j.size.cpus);
      min_request_.memory_gb = std::min(min_request_.memory_gb, j.size.memory_gb);
      if (j.tasks > 0) ++unplaced_jobs_;
    }
    machines_.reserve(s.machines.size() + 64);
    for (const auto& m : s.machines) add_machine(m);
    pass_s_ = params_.pass_s * static_cast<double>(machines_.size() + tasks) / 1000;
    for (const auto& o : offers_)
      min_price_ = min_price_ <= 0 ? o.price : std::min(min_price_, o.price);
    if (min_price_ <= 0) min_price_ = 1;
    cheapest_offers_.assign(queue_.size(), kNotComputed);
  }

  // Machines that the policy rents at the start, per offer.
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
      place_jobs(now);
      double next = params_.horizon_s;
      if (!task_ends_.empty()) next = std::min(next, task_ends_.top().at);
      if (!boots_.empty()) next = std::min(next, boots_.top().first);
      if (unplaced_jobs_ > 0 && policy_.scale_out == ScaleOut::xfactor)
        next = std::min(next, next_xfactor(now));
      if (task_ends_.empty() && unplaced_jobs_ == 0) break;
      if (next >= params_.horizon_s) break;
      return_idle_machines(next);
      now = next;
      const double until = next + pass_s_ + 1e-9;
      while (!task_ends_.empty() && task_ends_.top().at <= until) {
        now = std::max(now, task_ends_.top().at);
        finish_tasks(task_ends_.top());
        task_ends_.pop();
      }
    }
    // Jobs that are still queued count as done at the horizon.
    for (std::size_t j = 0; j < queue_.size(); ++j)
      if (unplaced_tasks_[j] > 0) score_job(j, params_.horizon_s);
    for (auto& m : machines_)
      if (!m.returned) return_machine(m, std::max(now, m.busy_until));
    outcome_.slowdown = scored_jobs_ > 0 ? slowdown_sum_ / static_cast<double>(scored_jobs_) : 1;
    outcome_.utility = utility(outcome_.job_time, outcome_.charged, outcome_.slowdown, params_);
    return outcome_;
  }

 private:
  static constexpr int kNotComputed = -2;
  struct MachineState {
    const SimMachine* spec;
    Resources free_capacity;
    std::vector<int> images;
    // Time at which its age was 0; negative for machines from before the replay.
    double created_at = 0;
    double ready_at = 0, busy_until = 0;
    std::uint32_t tasks = 0;
    bool returned = false, available = false, idle = false;
    double free_share() const {
      return spec->capacity.cpus > 0 ? free_capacity.cpus / spec->capacity.cpus : 0;
    }
  };
  // Free capacity in machines, and number of machines; for each type, on-demand and spot. Without
  // unschedulable machines.
  struct TypeTotals {
    double free = 0, rented = 0;
  };
  TypeTotals& totals_of(const SimMachine& m) {
    const auto at = static_cast<std::size_t>(m.type) * 2 + (m.spot ? 1 : 0);
    if (at >= type_totals_.size()) type_totals_.resize(at + 2);
    return type_totals_[at];
  }
  void change_free_capacity(MachineState& m, const Resources& size, double n) {
    const double before = m.free_share();
    m.free_capacity.add(size, n);
    if (!m.spec->unschedulable) totals_of(*m.spec).free += m.free_share() - before;
  }
  void make_available(MachineState& m, std::uint32_t index) {
    if (m.available || m.returned || m.spec->unschedulable || !min_request_.fits(m.free_capacity))
      return;
    m.available = true;
    available_machines_.push_back(index);
  }

  void add_machine(const SimMachine& m, double now = 0) {
    MachineState x{&m,
                   m.free_capacity,
                   m.images,
                   now - m.age_s,
                   now + m.remaining_boot_s,
                   now + m.remaining_boot_s};
    const auto index = static_cast<std::uint32_t>(machines_.size());
    for (const auto& r : m.running) {
      task_ends_.push({std::max(r.end_s, 0.0), index, -1, r.team, r.tasks, r.size});
      x.tasks += r.tasks;
      x.busy_until = std::max(x.busy_until, r.end_s);
      // Work that is already running counts too. Otherwise machines occupied by it would be pure
      // cost under every policy.
      outcome_.job_time += std::max(r.end_s, 0.0) * r.size.dominant_share_of(m.capacity) * r.tasks;
    }
    if (!m.unschedulable) {
      auto& sum = totals_of(m);
      sum.free += x.free_share();
      sum.rented += 1;
    }
    if (x.tasks == 0) {
      x.idle = true;
      idle_machines_.push_back(index);
    }
    machines_.push_back(std::move(x));
    if (machines_.back().ready_at > now)
      boots_.push({machines_.back().ready_at, index});
    else
      make_available(machines_.back(), index);
    ++outcome_.steps;
  }

  double next_xfactor(double now) const {
    double next = params_.horizon_s;
    for (std::size_t j = 0; j < queue_.size(); ++j) {
      if (unplaced_tasks_[j] == 0) continue;
      const double r = std::max(queue_[j].run_s, params_.slowdown_bound_s);
      const double at = (params_.odx_threshold - 1) * r - queue_[j].wait_s + 1e-6;
      if (at > now) next = std::min(next, at);
    }
    return next;
  }

  void scale_out(double now) {
    if (unplaced_jobs_ == 0) return;
    // Assigns the demand of each job to its cheapest offer.
    bool any = false;
    demands_.resize(offers_.size());
    for (auto& d : demands_) d.clear();
    guaranteed_machines_.assign(offers_.size(), 0);
    for (std::size_t j = 0; j < queue_.size(); ++j) {
      ++outcome_.steps;
      if (unplaced_tasks_[j] == 0) continue;
      const auto& job = queue_[j];
      if (cheapest_offers_[j] == kNotComputed ||
          (cheapest_offers_[j] >= 0 &&
           offers_[static_cast<std::size_t>(cheapest_offers_[j])].free_capacity == 0)) {
        cheapest_offers_[j] = cheapest_offer(job, offers_);
        outcome_.steps += offers_.size();
      }
      const int o = cheapest_offers_[j];
      if (o < 0) continue;
      const auto n = tasks_within_limit(job, unplaced_tasks_[j]);
      if (n == 0) continue;
      const double share =
          n * job.size.dominant_share_of(offers_[static_cast<std::size_t>(o)].size);
      demands_[static_cast<std::size_t>(o)].push_back({share, job.wait_s + now, job.run_s});
      if (job.within_guarantee || job.aged)
        guaranteed_machines_[static_cast<std::size_t>(o)] +=
            job.within_guarantee ? share : share / n;
      any = true;
    }
    if (!any) return;
    for (std::size_t i = 0; i < offers_.size(); ++i) {
      if (demands_[i].empty()) continue;
      auto& o = offers_[i];
      double free = 0, rented = 0;
      for (const bool spot : {false, true}) {
        const auto at = static_cast<std::size_t>(o.type) * 2 + (spot ? 1 : 0);
        if (at >= type_totals_.size() || (spot && !o.spot)) continue;
        free += type_totals_[at].free;
        rented += type_totals_[at].rented;
      }
      // Machines for guaranteed work are rented under every policy. The replay does not know future
      // jobs, so waiting for running tasks to end always seems sufficient to it.
      const double machines = std::max(
          additional_machines(policy_.scale_out, demands_[i], free, rented, rented - free, params_),
          guaranteed_machines_[i] - free);
      auto n = static_cast<std::uint32_t>(std::max(0.0, std::ceil(machines - 1e-6)));
      n = std::min(n, o.free_capacity);
      o.free_capacity -= n;
      if (n == 0) continue;
      const auto& m = rented_specs_.emplace_back(make_booting_machine(o));
      for (; n > 0; --n) add_machine(m, now);
    }
  }

  // How many of `n` tasks of the job its team's limits allow.
  std::uint32_t tasks_within_limit(const SimJob& job, std::uint32_t n) const {
    const auto& t = teams_[static_cast<std::size_t>(job.team)];
    if (job.size.cpus > 0)
      n = static_cast<std::uint32_t>(std::clamp((t.cpus_max - t.used_cpus) / job.size.cpus + 1e-9,
                                                0.0, static_cast<double>(n)));
    if (job.size.gpus > 0)
      n = static_cast<std::uint32_t>(std::clamp((t.gpus_max - t.used_gpus) / job.size.gpus + 1e-9,
                                                0.0, static_cast<double>(n)));
    return n;
  }

  void place_jobs(double now) {
    for (; !boots_.empty() && boots_.top().first <= now + 1e-9; boots_.pop())
      make_available(machines_[boots_.top().second], boots_.top().second);
    std::erase_if(available_machines_, [this](std::uint32_t i) {
      return !(machines_[i].available = !machines_[i].returned);
    });
    if (unplaced_jobs_ == 0 || available_machines_.empty()) return;
    // First fit uses the machines in the order of the snapshot.
    if (policy_.machine_selection == MachineSelection::first_fit)
      std::sort(available_machines_.begin(), available_machines_.end());
    outcome_.steps += available_machines_.size();
    placement_order_.clear();
    for (std::size_t j = 0; j < queue_.size(); ++j) {
      if (unplaced_tasks_[j] == 0) continue;
      const auto& job = queue_[j];
      const auto& team = teams_[static_cast<std::size_t>(job.team)];
      const bool within_guarantee =
          team.used_cpus + job.size.cpus <= team.cpus + kCapacityTolerance;
      placement_order_.push_back(
          {within_guarantee, job.priority,
           order_key(policy_.order, job.wait_s + now, job.run_s, job.total_tasks), j});
    }
    outcome_.steps += queue_.size();
    std::sort(placement_order_.begin(), placement_order_.end());
    for (const auto& k : placement_order_) {
      place_job(k.job, now);
      if (available_machines_.empty()) return;
    }
  }

  // A machine's rank for a job does not depend on its free capacity, so each machine is visited
  // once and gets as many tasks as fit.
  void place_job(std::size_t j, double now) {
    const auto& job = queue_[j];
    if (tasks_within_limit(job, unplaced_tasks_[j]) == 0) return;
    const auto is_suitable = [&](const MachineState& m) {
      return job.size.fits(m.free_capacity) && job.allows(m.spec->type, m.spec->zone, m.spec->spot);
    };
    const auto fill_machine = [&](std::uint32_t i) {
      auto& m = machines_[i];
      const auto n = std::min(tasks_within_limit(job, unplaced_tasks_[j]),
                              job.size.count_fitting_in(m.free_capacity));
      if (n > 0) start_tasks(j, m, i, n, now);
      return n > 0 && unplaced_tasks_[j] > 0;
    };
    outcome_.steps += available_machines_.size();
    if (policy_.machine_selection == MachineSelection::first_fit) {
      for (const auto i : available_machines_)
        if (is_suitable(machines_[i]) && !fill_machine(i)) break;
    } else {
      ranked_machines_.clear();
      const double sign = policy_.machine_selection == MachineSelection::best_fit ? 1 : -1;
      for (const auto i : available_machines_)
        if (is_suitable(machines_[i]))
          ranked_machines_.emplace_back(
              sign * remaining_charge_unit_s(now - machines_[i].created_at, job.run_s,
                                             params_.charge_unit_s),
              i);
      outcome_.steps += ranked_machines_.size();
      std::make_heap(ranked_machines_.begin(), ranked_machines_.end(), std::greater<>());
      while (!ranked_machines_.empty()) {
        std::pop_heap(ranked_machines_.begin(), ranked_machines_.end(), std::greater<>());
        const auto i = ranked_machines_.back().second;
        ranked_machines_.pop_back();
        if (!fill_machine(i)) break;
      }
    }
    std::erase_if(available_machines_, [this](std::uint32_t i) {
      return !(machines_[i].available = min_request_.fits(machines_[i].free_capacity));
    });
  }

  void start_tasks(std::size_t j, MachineState& m, std::uint32_t index, std::uint32_t n,
                   double now) {
    const auto& job = queue_[j];
    ++outcome_.steps;
    double fetch = 0;
    if (std::find(m.images.begin(), m.images.end(), job.image) == m.images.end()) {
      fetch = job.image_gb / std::max(m.spec->fetch_gb_per_s, 1e-3);
      m.images.push_back(job.image);
    }
    unplaced_tasks_[j] -= n;
    change_free_capacity(m, job.size, -static_cast<double>(n));
    m.tasks += n;
    auto& t = teams_[static_cast<std::size_t>(job.team)];
    t.used_cpus += job.size.cpus * n;
    t.used_gpus += job.size.gpus * n;
    const double end = now + fetch + job.run_s;
    m.busy_until = std::max(m.busy_until, end);
    outcome_.job_time += job.run_s * n * job.size.dominant_share_of(m.spec->capacity);
    task_ends_.push({end, index, static_cast<int>(j), job.team, n, job.size});
    if (unplaced_tasks_[j] == 0) {
      --unplaced_jobs_;
      score_job(j, end);
    }
  }

  void finish_tasks(const TaskEnd& d) {
    auto& m = machines_[d.machine];
    ++outcome_.steps;
    change_free_capacity(m, d.size, d.tasks);
    m.tasks -= d.tasks;
    if (m.ready_at <= d.at + 1e-9) make_available(m, d.machine);
    if (m.tasks == 0 && !m.idle) {
      m.idle = true;
      idle_machines_.push_back(d.machine);
    }
    auto& t = teams_[static_cast<std::size_t>(d.team)];
    t.used_cpus -= d.size.cpus * d.tasks;
    t.used_gpus -= d.size.gpus * d.tasks;
  }

  // Adds the bounded slowdown of a job that ends at `end`. Called when its last task starts, or at
  // the horizon.
  void score_job(std::size_t j, double end) {
    const auto& job = queue_[j];
    const double bound = std::max(job.run_s, params_.slowdown_bound_s);
    slowdown_sum_ += std::max(1.0, (job.wait_s + end) / bound);
    ++scored_jobs_;
  }

  double charge_unit_end(const MachineState& m, double from) const {
    const double age = std::max(from - m.created_at, 1e-9);
    return m.created_at + std::ceil(age / params_.charge_unit_s) * params_.charge_unit_s;
  }

  void return_machine(MachineState& m, double until) {
    m.returned = true;
    if (!m.spec->unschedulable) {
      auto& sum = totals_of(*m.spec);
      sum.free -= m.free_share();
      sum.rented -= 1;
    }
    // R_V: charge units that begin from now on, since earlier charges are the same under every
    // policy. Time is weighted by the machine's price relative to the cheapest offer.
    const double from = std::max(0.0, m.created_at);
    const double end = std::max(charge_unit_end(m, until), from);
    outcome_.charged += (end - from) * m.spec->price / min_price_;
  }

  // Returns idle machines whose charge unit ends before the next event.
  void return_idle_machines(double next) {
    outcome_.steps += idle_machines_.size();
    std::erase_if(idle_machines_, [&](std::uint32_t i) {
      auto& m = machines_[i];
      if (m.tasks == 0 && !m.returned) {
        const double idle_from = std::max(m.busy_until, 0.0);
        if (charge_unit_end(m, idle_from) >= next) return false;
        return_machine(m, idle_from);
      }
      m.idle = false;
      return true;
    });
  }

  struct QueueEntry {
    bool within_guarantee;
    int priority;
    double key;
    std::size_t job;
    bool operator<(const QueueEntry& o) const {
      if (within_guarantee != o.within_guarantee) return within_guarantee;
      if (priority != o.priority) return priority > o.priority;
      if (key != o.key) return key > o.key;
      return job < o.job;
    }
  };

  const Policy policy_;
  const PolicyParams& params_;
  const std::vector<SimJob>& queue_;
  std::vector<Offer> offers_;
  std::vector<SimTeam> teams_;
  std::vector<MachineState> machines_;
  // One for each rental, shared by its machines. A deque keeps MachineState::spec valid.
  std::deque<SimMachine> rented_specs_;
  using Boot = std::pair<double, std::uint32_t>;
  // Booting machines: the time at which a machine is ready, and its index.
  std::priority_queue<Boot, std::vector<Boot>, std::greater<>> boots_;
  std::vector<std::uint32_t> unplaced_tasks_, available_machines_, idle_machines_;
  std::vector<std::pair<double, std::uint32_t>> ranked_machines_;
  std::vector<TypeTotals> type_totals_;
  std::vector<int> cheapest_offers_;  // per job: index of its cheapest offer, or kNotComputed
  Resources min_request_{1e18, 0, 1e18};
  std::size_t unplaced_jobs_ = 0;  // jobs with unplaced tasks
  double pass_s_ = 0;
  std::vector<std::vector<Demand>> demands_;
  std::vector<double> guaranteed_machines_;  // per offer: machines for guaranteed and aged jobs
  std::vector<QueueEntry> placement_order_;
  std::priority_queue<TaskEnd, std::vector<TaskEnd>, std::greater<>> task_ends_;
  double min_price_ = 0, slowdown_sum_ = 0;
  std::size_t scored_jobs_ = 0;
  Outcome outcome_;
};

}  // namespace

Outcome replay(const Snapshot& snapshot, const Policy& policy, const PolicyParams& params) {
  return Replay(snapshot, policy, params).run();
}

std::vector<std::uint32_t> scale_out_now(const Snapshot& snapshot, const Policy& policy,
                                         const PolicyParams& params) {
  return Replay(snapshot, policy, params).scale_out_now();
}

}  // namespace hitchfront::portfolio
