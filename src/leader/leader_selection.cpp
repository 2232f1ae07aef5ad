#include <algorithm>
#include <cmath>

#include "leader/leader.hpp"
#include "leader/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;

portfolio::Snapshot Leader::snapshot(Ms now) {
  update_within_guarantee();
  portfolio::Snapshot s;
  for (const auto& t : teams_)
    s.teams.push_back({t.cpus, t.cpus_max, t.gpus_max, t.used_cpus, t.used_gpus});
  // What has been silent for long is most likely gone, and its tasks will be waiting once its lease
  // is over. What replaces it takes a boot: asked for now, it is up by then. Until then nothing of
  // it starts anywhere.
  std::unordered_map<std::uint64_t, std::uint32_t> missing;
  for (const auto* m : fleet_) {
    if (!is_missing(now, *m)) continue;
    for (const auto& [key, p] : m->tasks) {
      if (!p.job->active() || p.job->team < 0 || p.job->places[p.task] > 1) continue;
      ++missing[key.first];
      auto& team = s.teams[static_cast<std::size_t>(p.job->team)];
      team.used_cpus -= p.job->spec.cpus;
      team.used_gpus -= p.job->spec.gpus;
    }
  }
  for (const auto& [id, job] : jobs_) {
    const auto lost = missing.find(job->index);
    const auto tasks = job->waiting + (lost == missing.end() ? 0 : lost->second);
    if (!job->active() || tasks == 0 || job->team < 0 || job->types == 0) continue;
    portfolio::SimJob j;
    j.tasks = tasks;
    if (failure_attribution_.is_quarantined(job->index)) {
      // One try at a time, on whatever is there; only an empty fleet is worth a rental.
      if (!fleet_.empty() || now < job->not_before) continue;
      j.tasks = 1;
    }
    j.width = job->spec.tasks;
    j.wait_s = static_cast<double>(now - job->seen) / 1000;
    j.run_s = job->spec.form == wire::Form::service ? kReplayHorizonS : run_time(*job);
    j.size = size_of(job->spec);
    j.team = job->team;
    j.priority = static_cast<int>(job->priority);
    j.image = job->image;
    j.image_gb = job->spec.image_gb;
    j.spot = job->spec.spot;
    j.within_guarantee = job->within_guarantee;
    j.aged = !job->within_guarantee && !has_begun(*job) && j.wait_s >= kAgedS;
    j.types = job->types;
    j.zone = job->zone;
    s.queue.push_back(j);
  }
  // The map's order is not the same in every process; the replay's must be.
  std::sort(s.queue.begin(), s.queue.end(), [](const auto& a, const auto& b) {
    return a.wait_s != b.wait_s ? a.wait_s > b.wait_s : a.image < b.image;
  });
  for (const auto* m : fleet_) {
    if (m->type < 0 || m->failed || m->releasing || m->lost || is_missing(now, *m)) continue;
    const auto& type = types_[static_cast<std::size_t>(m->type)];
    portfolio::SimMachine x;
    x.type = m->type;
    x.zone = m->zone;
    x.spot = m->spot;
    x.closed = m->cordoned || m->termination_at != 0;
    x.whole = m->whole;
    x.free_capacity = m->free_capacity;
    x.age_s = static_cast<double>(now - m->born) / 1000;
    x.up_in_s = m->up ? 0 : std::max(1.0, type.boot_s - x.age_s);
    x.price = price_of(*m);
    x.fetch_gb_per_s = type.fetch_gb_per_s;
    x.images = m->images;
    std::map<std::uint64_t, portfolio::Running> running;
    for (const auto& [key, p] : m->tasks) {
      auto& r = running[key.first];
      const double run =
          p.job->spec.form == wire::Form::service ? kReplayHorizonS : run_time(*p.job);
      const double ran = ran_s(now, p);
      const double left = left_s(run, ran);
      r.tasks = r.end_s == 0 ? 1 : r.tasks + 1;
      r.end_s = std::max(r.end_s, std::max(left, 0.1));
      r.size = size_of(p.job->spec);
      r.team = p.job->team;
    }
    for (auto& [index, r] : running) x.running.push_back(r);
    s.machines.push_back(std::move(x));
  }
  for (const auto& r : scale_out_requests_) {
    s.machines.insert(s.machines.end(), r.count, portfolio::booting(offers_[r.offer]));
  }
  s.offers = offers_;
  for (std::size_t i = 0; i < offers_.size(); ++i)
    s.offers[i].free_capacity = now < offer_blocked_[i] ? 0 : kScaleOutMost * scale_out_calls();
  return s;
}

// What the operators' expressions may refer to: queue_jobs, queue_tasks, machines.
Inputs Leader::operator_inputs() const {
  double jobs = 0, tasks = 0;
  for (const auto& [id, job] : jobs_) {
    if (!job->active() || job->waiting == 0 || failure_attribution_.is_quarantined(job->index))
      continue;
    ++jobs;
    tasks += job->waiting;
  }
  return {jobs, tasks, static_cast<double>(machines_.size())};
}

void Leader::select(Ms now) {
  if (now < next_select_ || selector_.running() || !loaded_ || types_.empty()) return;
  const auto inputs = operator_inputs();
  const auto period = static_cast<Ms>(operator_.get("period", inputs) * 1000);
  next_select_ = now + period;
  params_.kappa = operator_.get("kappa", inputs);
  params_.alpha = operator_.get("alpha", inputs);
  params_.beta = operator_.get("beta", inputs);
  params_.charge_unit_s = operator_.get("charge_unit", inputs);
  selector_.set_lambda(operator_.get("lambda", inputs));
  auto s = snapshot(now);
  if (s.queue.empty()) return;  // nothing to choose by; the last choice stands
  const double budget_ms =
      static_cast<double>(period) * platform_.cores * operator_.get("replay_share", inputs);
  selection_jobs_ = s.queue.size();
  selection_machines_ = s.machines.size();
  selection_steps_ = 0;
  selector_.begin(std::move(s), budget_ms * steps_per_ms_, params_);
}

std::uint64_t Leader::replay(Ms now, std::uint64_t steps) {
  std::uint64_t spent = 0;
  while (selector_.running() && spent < steps) spent += selector_.step();
  selection_steps_ += spent;
  out_.metrics().add(telemetry::Count::replay_steps, static_cast<double>(spent));
  if (!selector_.running()) {
    log(Event::selection_replayed, selection_jobs_, selection_machines_, selector_.replayed(),
        selection_steps_, static_cast<std::uint64_t>(steps_per_ms_));
    out_.metrics().add(telemetry::Count::selections);
    out_.metrics().observe(telemetry::Histogram::replayed,
                           static_cast<double>(selector_.replayed()));
  }
  if (!selector_.running() && selector_.replayed() > 0 && !(policy_ == selector_.chosen())) {
    policy_ = selector_.chosen();
    log(Event::policy_chosen, portfolio::name(policy_), selector_.chosen_utility(),
        selector_.replayed());
    dirty_ = true;
    schedule(now);
  }
  return spent;
}

}  // namespace hitchfront::core
