// The replay played the plain way: one machine, one event at a time. The real one is compared with
// it.
#include "slow_replay.hpp"

#include <algorithm>
#include <cmath>
#include <queue>

namespace hitchfront::portfolio {

namespace {

struct Done {
  double at = 0;
  std::uint32_t machine = 0;
  int job = -1;  // -1: ran before the replay began
  int team = 0;
  std::uint32_t tasks = 0;
  Resources size;
  bool operator>(const Done& o) const { return at > o.at; }
};

class Replay {
 public:
  Replay(const Snapshot& s, const Policy& policy, const PolicyParams& params)
      : policy_(policy), p_(params), queue_(s.queue), offers_(s.offers), teams_(s.teams) {
    machines_.reserve(s.machines.size() + 16);
    for (const auto& m : s.machines) add(m);
    left_.reserve(queue_.size());
    for (const auto& j : queue_) left_.push_back(j.tasks);
    for (const auto& o : offers_)
      cheapest_ = cheapest_ <= 0 ? o.price : std::min(cheapest_, o.price);
    if (cheapest_ <= 0) cheapest_ = 1;
  }

  Outcome run() {
    double now = 0;
    while (true) {
      scale_out(now);
      place(now);
      double next = p_.horizon_s;
      if (!events_.empty()) next = std::min(next, events_.top().at);
      for (const auto& m : machines_) {
        ++out_.steps;
        if (m.gone) continue;
        if (m.up_at > now) next = std::min(next, m.up_at);
      }
      if (waiting() && policy_.scale_out == ScaleOut::xfactor)
        next = std::min(next, next_xfactor(now));
      if (events_.empty() && !waiting()) break;
      // Idle machines leave at the end of their units; look again at the next one.
      if (next >= p_.horizon_s) break;
      give_back_until(next);
      now = next;
      while (!events_.empty() && events_.top().at <= now + 1e-9) {
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
  struct M {
    SimMachine m;
    double born = 0;  // time at which its age was 0 (may be before the replay)
    double up_at = 0, busy_until = 0;
    std::uint32_t tasks = 0;
    bool gone = false;
  };

  void add(const SimMachine& m, double now = 0) {
    M x{m, now - m.age_s, now + m.remaining_boot_s, now + m.remaining_boot_s, 0, false};
    const auto index = static_cast<std::uint32_t>(machines_.size());
    for (const auto& r : m.running) {
      events_.push({std::max(r.end_s, 0.0), index, -1, r.team, r.tasks, r.size});
      x.tasks += r.tasks;
      x.busy_until = std::max(x.busy_until, r.end_s);
      // What runs already is work too: without it, machines kept by running tasks would count as
      // pure cost, whatever the policy.
      out_.job_time += std::max(r.end_s, 0.0) * r.size.dominant_share_of(m.capacity) * r.tasks;
    }
    machines_.push_back(std::move(x));
  }

  bool waiting() const {
    for (auto l : left_)
      if (l > 0) return true;
    return false;
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
    // Demand by the offer that suits each job best: machines are counted per type.
    bool any = false;
    demands_.assign(offers_.size(), {});
    within_guarantee_.assign(offers_.size(), 0);
    for (std::size_t j = 0; j < queue_.size(); ++j) {
      ++out_.steps;
      if (left_[j] == 0) continue;
      const auto& job = queue_[j];
      const int o = cheapest_offer(job, offers_);
      if (o < 0) continue;
      const auto n = allowed(job, left_[j]);
      if (n == 0) continue;
      const double share =
          n * job.size.dominant_share_of(offers_[static_cast<std::size_t>(o)].size);
      demands_[static_cast<std::size_t>(o)].push_back({share, job.wait_s + now, job.run_s});
      if (job.within_guarantee || job.aged)
        within_guarantee_[static_cast<std::size_t>(o)] += job.within_guarantee ? share : share / n;
      any = true;
    }
    if (!any) return;
    for (std::size_t i = 0; i < offers_.size(); ++i) {
      if (demands_[i].empty()) continue;
      auto& o = offers_[i];
      double free = 0, rented = 0, busy = 0;
      for (const auto& m : machines_) {
        ++out_.steps;
        if (m.gone || m.m.unschedulable || m.m.type != o.type) continue;
        if (!o.spot && m.m.spot) continue;
        const double share = m.m.capacity.cpus > 0 ? m.m.free_capacity.cpus / m.m.capacity.cpus : 0;
        free += share;
        busy += 1 - share;
        rented += 1;
      }
      const double want =
          std::max(additional_machines(policy_.scale_out, demands_[i], free, rented, busy, p_),
                   within_guarantee_[i] - free);
      auto n = static_cast<std::uint32_t>(std::max(0.0, std::ceil(want - 1e-6)));
      n = std::min(n, o.free_capacity);
      o.free_capacity -= n;
      for (; n > 0; --n) {
        add(make_booting_machine(o), now);
      }
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
    order_.clear();
    for (std::size_t j = 0; j < queue_.size(); ++j) {
      if (left_[j] == 0) continue;
      const auto& job = queue_[j];
      const auto& team = teams_[static_cast<std::size_t>(job.team)];
      const bool within_guarantee = team.used_cpus + job.size.cpus <= team.cpus + 1e-9;
      order_.push_back({within_guarantee, job.priority,
                        order_key(policy_.order, job.wait_s + now, job.run_s, job.total_tasks), j});
      ++out_.steps;
    }
    std::sort(order_.begin(), order_.end());
    for (const auto& k : order_) {
      const auto& job = queue_[k.job];
      while (left_[k.job] > 0) {
        std::uint32_t n = allowed(job, left_[k.job]);
        if (n == 0) break;
        const int mi = choose(job, now);
        if (mi < 0) break;
        auto& m = machines_[static_cast<std::size_t>(mi)];
        n = std::min(n, job.size.count_fitting_in(m.m.free_capacity));
        start(k.job, m, static_cast<std::uint32_t>(mi), n, now);
      }
    }
  }

  int choose(const SimJob& job, double now) {
    int best = -1;
    double best_left = 0;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      ++out_.steps;
      const auto& m = machines_[i];
      if (m.gone || m.m.unschedulable || m.up_at > now + 1e-9) continue;
      if (!job.allows(m.m.type, m.m.zone, m.m.spot) || !job.size.fits(m.m.free_capacity)) continue;
      if (policy_.machine_selection == MachineSelection::first_fit) return static_cast<int>(i);
      const double left = remaining_charge_unit_s(now - m.born, job.run_s, p_.charge_unit_s);
      if (best < 0 ||
          (policy_.machine_selection == MachineSelection::best_fit ? left < best_left
                                                                   : left > best_left)) {
        best = static_cast<int>(i);
        best_left = left;
      }
    }
    return best;
  }

  void start(std::size_t j, M& m, std::uint32_t index, std::uint32_t n, double now) {
    const auto& job = queue_[j];
    double fetch = 0;
    if (std::find(m.m.images.begin(), m.m.images.end(), job.image) == m.m.images.end()) {
      fetch = job.image_gb / std::max(m.m.fetch_gb_per_s, 1e-3);
      m.m.images.push_back(job.image);
    }
    left_[j] -= n;
    m.m.free_capacity.add(job.size, -static_cast<double>(n));
    m.tasks += n;
    auto& t = teams_[static_cast<std::size_t>(job.team)];
    t.used_cpus += job.size.cpus * n;
    t.used_gpus += job.size.gpus * n;
    const double end = now + fetch + job.run_s;
    m.busy_until = std::max(m.busy_until, end);
    out_.job_time += job.run_s * n * job.size.dominant_share_of(m.m.capacity);
    events_.push({end, index, static_cast<int>(j), job.team, n, job.size});
    if (left_[j] == 0) score(j, end);
  }

  void finish(const Done& d) {
    auto& m = machines_[d.machine];
    m.m.free_capacity.add(d.size, d.tasks);
    m.tasks -= d.tasks;
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
    // R_V in units begun from now on; what was paid before is the same under every policy. Spot and
    // ordinary machines and types differ in price, so time counts by price.
    const double from = std::max(0.0, m.born);
    const double end = std::max(unit_end(m, until), from);
    out_.charged += (end - from) * m.m.price / cheapest_;
  }

  // Idle machines leave when their charge unit ends before anything needs them.
  void give_back_until(double next) {
    for (auto& m : machines_) {
      ++out_.steps;
      if (m.gone || m.tasks > 0) continue;
      const double idle_from = std::max(m.busy_until, 0.0);
      const double end = unit_end(m, idle_from);
      if (end < next) charge(m, idle_from);
    }
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
  const PolicyParams& p_;
  const std::vector<SimJob>& queue_;
  std::vector<Offer> offers_;
  std::vector<SimTeam> teams_;
  std::vector<M> machines_;
  std::vector<std::uint32_t> left_;
  std::vector<std::vector<Demand>> demands_;
  std::vector<double> within_guarantee_;  // machines that work within a guarantee needs, per offer
  std::vector<Key> order_;
  std::priority_queue<Done, std::vector<Done>, std::greater<>> events_;
  double cheapest_ = 0, slowdown_sum_ = 0;
  std::size_t scored_ = 0;
  Outcome out_;
};

}  // namespace

Outcome slow_replay(const Snapshot& snapshot, const Policy& policy, const PolicyParams& params) {
  return Replay(snapshot, policy, params).run();
}

}  // namespace hitchfront::portfolio
