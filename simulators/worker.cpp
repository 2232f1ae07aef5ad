#include "simulators/worker.hpp"

#include <algorithm>

namespace hitchfront::simulators {
using wire::Cause;
using wire::TaskState;
namespace {

constexpr std::int64_t kHeartbeatTimeoutMs = 4000;  // PROTOCOL, as the next three
constexpr std::int64_t kNextNodeMs = 1000;          // before it turns to another controller
constexpr std::int64_t kChangesMs = 500;            // between heartbeats that report changes
constexpr double kMinInterval = 0.75, kMaxInterval = 1.25;  // between two, times the settings'
constexpr double kFailingTaskS = 1;
constexpr double kRounding = 1e-6;  // of sums of processors and memory

}  // namespace

Worker::Worker(Place place, std::vector<std::string> nodes, std::int64_t now,
               std::int64_t heartbeat_ms, std::int64_t lease_ms, Hooks hooks, std::uint64_t seed)
    : place_(std::move(place)),
      nodes_(std::move(nodes)),
      heartbeat_ms_(heartbeat_ms),
      lease_ms_(lease_ms),
      hooks_(std::move(hooks)),
      random_(seed),
      next_heartbeat_(now),
      answered_sent_(now) {
  node_ = std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_);
}

void Worker::end(const TaskKey& key, Task& t, Cause cause, bool saved) {
  if (t.on) hooks_.left(key.first, key.second);
  t.on = false;
  t.state = TaskState::ended;
  t.cause = cause;
  t.saved = saved;
  changed_ = true;
  if (cause == Cause::done) hooks_.done(key.first, key.second);
}

void Worker::vanish() {
  for (auto& [key, t] : tasks_)
    if (t.on) hooks_.left(key.first, key.second);
  tasks_.clear();
}

void Worker::step(std::int64_t now) {
  if (now - answered_sent_ > lease_ms_) {
    vanish();
    if (hooks_.lease_expires_at) hooks_.lease_expires_at();
    ++incarnation_;
    answered_sent_ = now;
    changed_ = true;
  }
  for (auto& [key, t] : tasks_) {
    if (t.state == TaskState::ended || now < t.next) continue;
    if (t.state == TaskState::fetching) {
      start_running(now, key, t);
    } else if (t.state == TaskState::saving) {
      end(key, t, Cause::stopped, true);
    } else if (t.fails) {
      end(key, t, Cause::error, false);
    } else if (hooks_.job(key.first)->form == wire::JobForm::array) {
      end(key, t, Cause::done, false);
    }
  }
}

void Worker::start_running(std::int64_t now, const TaskKey& key, Task& t) {
  const auto& [job, task] = key;
  t.state = TaskState::running;
  t.on = true;
  hooks_.started(job, task);
  const bool completed = hooks_.completed(job, task);
  t.fails = !completed && hooks_.fails && hooks_.fails(job, task);
  const double run_s = completed ? 0 : t.fails ? kFailingTaskS : hooks_.run_s(job, task);
  t.next = now + static_cast<std::int64_t>(run_s * 1000);
  changed_ = true;
}

wire::Heartbeat Worker::heartbeat(std::int64_t now) {
  wire::Heartbeat r;
  r.machine = place_.name;
  r.addr = place_.addr;
  r.type = place_.type;
  r.zone = place_.zone;
  r.spot = place_.spot;
  r.incarnation = incarnation_;
  r.seq = ++seq_;
  r.fencing_token = fencing_token_;
  if (taken_at) r.notice_s = std::max(0.0, static_cast<double>(*taken_at - now) / 1000);
  for (const auto& [key, t] : tasks_)
    r.tasks.push_back({key.first, key.second, t.attempt, t.state, t.cause, t.saved});
  return r;
}

void Worker::next_node(std::int64_t now) {
  node_ = (node_ + 1) % nodes_.size();
  not_before_ = now + kNextNodeMs;
  changed_ = true;
}

std::optional<Worker::Outgoing> Worker::poll(std::int64_t now) {
  if (hung) {
    // It executes nothing, and when it resumes after its lease it kills its tasks first of all:
    // they are off the machine from the end of the lease on.
    if (now - answered_sent_ > lease_ms_) vanish();
    return std::nullopt;
  }
  step(now);
  if (in_flight_ != 0 && now - in_flight_since_ >= kHeartbeatTimeoutMs) {
    in_flight_ = 0;
    next_node(now);
  }
  if (in_flight_ != 0 || now < not_before_) return std::nullopt;
  if (now < next_heartbeat_ && !(changed_ && now - last_sent_ >= kChangesMs)) return std::nullopt;
  changed_ = false;
  in_flight_ = next_id_++;
  in_flight_since_ = last_sent_ = now;
  in_flight_incarnation_ = incarnation_;
  next_heartbeat_ = now + static_cast<std::int64_t>(static_cast<double>(heartbeat_ms_) *
                                                    std::uniform_real_distribution<>(
                                                        kMinInterval, kMaxInterval)(random_));
  return Outgoing{nodes_[node_], wire::encode(heartbeat(now)), in_flight_};
}

void Worker::answered(std::int64_t now, std::uint64_t id, int status, const std::string& body) {
  if (hung) return;
  step(now);
  if (id != in_flight_) return;  // given up
  in_flight_ = 0;
  if (status == 421) {
    const auto o = nlohmann::json::parse(body, nullptr, false);
    const auto to = o.is_object() ? o.value("AnswerTo", "") : "";
    auto it = std::find(nodes_.begin(), nodes_.end(), to);
    if (it == nodes_.end() || it - nodes_.begin() == static_cast<std::ptrdiff_t>(node_))
      return next_node(now);
    node_ = static_cast<std::size_t>(it - nodes_.begin());
    changed_ = true;
    return;
  }
  if (status != 200) return next_node(now);
  const auto a = wire::parse_heartbeat_response(body);
  if (!a || a->fencing_token < fencing_token_ || in_flight_incarnation_ != incarnation_) return;
  if (a->fencing_token > fencing_token_) changed_ = true;
  fencing_token_ = a->fencing_token;
  answered_sent_ = std::max(answered_sent_, in_flight_since_);
  for (const auto& c : a->commands) run(now, c);
}

Response Worker::direct(std::int64_t now, const std::string& path, const std::string& body) {
  step(now);
  if (path == "/status") return {200, wire::encode(heartbeat(now))};
  const auto o = nlohmann::json::parse(body, nullptr, false);
  if (!o.is_object() || !o.contains("Warrant") || !o.contains("Tenure")) return {400, "{}"};
  const auto a = wire::parse_heartbeat_response(body);
  if (!a) return {400, "{}"};
  if (a->fencing_token < fencing_token_ || o["Tenure"].get<std::uint64_t>() != incarnation_)
    return {409, wire::encode(heartbeat(now))};
  fencing_token_ = a->fencing_token;
  for (const auto& c : a->commands) run(now, c);
  return {200, wire::encode(heartbeat(now))};
}

void Worker::run(std::int64_t now, const wire::Command& c) {
  changed_ = true;
  switch (c.op) {
    case wire::Command::Op::forget: {
      const auto it = tasks_.find({c.job, c.task});
      if (it != tasks_.end() && it->second.attempt == c.attempt &&
          it->second.state == TaskState::ended)
        tasks_.erase(it);
      return;
    }
    case wire::Command::Op::stop:
      return stop(now, c);
    case wire::Command::Op::start:
      return launch(now, c);
  }
}

void Worker::stop(std::int64_t now, const wire::Command& c) {
  const auto it = tasks_.find({c.job, c.task});
  if (it == tasks_.end()) return;
  auto& task = it->second;
  if (task.attempt != c.attempt || task.state == TaskState::ended) return;
  const auto* job = hooks_.job(c.job);
  if (task.state == TaskState::running && job->checkpoint_s > 0 && c.grace_s >= job->save_s) {
    task.state = TaskState::saving;
    task.next = now + static_cast<std::int64_t>(job->save_s * 1000);
  } else if (task.state != TaskState::saving || c.grace_s == 0) {
    end(it->first, task, Cause::stopped, false);
  }
}

void Worker::launch(std::int64_t now, const wire::Command& c) {
  const TaskKey key{c.job, c.task};
  const auto it = tasks_.find(key);
  if (it != tasks_.end() && it->second.attempt == c.attempt) return;
  Task task;
  task.attempt = c.attempt;
  const auto refuse = [&](Cause cause) {
    task.state = TaskState::ended;
    task.cause = cause;
    if (it == tasks_.end()) tasks_[key] = task;
  };
  const auto* job = hooks_.job(c.job);
  if (job == nullptr || c.task >= job->tasks) return refuse(Cause::unknown);
  if (it != tasks_.end() && it->second.state != TaskState::ended)
    return;  // busy: the other attempt is reported
  if (!has_capacity(*job)) return refuse(Cause::full);
  task.next = std::max(now, fetched_at(now, *job));
  tasks_[key] = task;
}

bool Worker::has_capacity(const wire::Job& job) const {
  double cpus = job.cpus, gpus = job.gpus, memory = job.memory_gb;
  for (const auto& [key, other] : tasks_) {
    if (other.state == TaskState::ended) continue;
    const auto* spec = hooks_.job(key.first);
    cpus += spec->cpus;
    gpus += spec->gpus;
    memory += spec->memory_gb;
  }
  return cpus <= place_.cpus + kRounding && gpus <= place_.gpus + kRounding &&
         memory <= place_.memory_gb + kRounding;
}

std::int64_t Worker::fetched_at(std::int64_t now, const wire::Job& job) {
  const double fetch_s = job.image_gb / place_.fetch_gb_per_s;
  return fetching_.emplace(job.image, now + static_cast<std::int64_t>(fetch_s * 1000))
      .first->second;
}

}  // namespace hitchfront::simulators
