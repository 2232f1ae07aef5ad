#include "scale/run.hpp"

#include <algorithm>

namespace hitchfront::scale {
namespace {

constexpr std::uint64_t kSeed = 11;
constexpr std::int64_t kTickMs = 100;
constexpr std::int64_t kCheckMs = 2000;  // between two looks for cancelled tasks that go on
constexpr std::int64_t kListLagMs = 5000;
constexpr double kMinRun = 0.7, kMaxRun = 1.3;  // of a task, times the options' run time
constexpr const char* kMachineType = "worker";

std::int64_t to_ms(double seconds) {
  return static_cast<std::int64_t>(seconds * 1000);
}

const char* priority_name(wire::Priority priority) {
  switch (priority) {
    case wire::Priority::high:
      return "urgent";
    case wire::Priority::low:
      return "idle";
    default:
      return "standard";
  }
}

}  // namespace

Run::Run(Options options)
    : options_(std::move(options)),
      deployment_(deployment(options_)),
      random_(kSeed),
      base_(event_base_new()),
      controllers_(base_.get(), options_, deployment_),
      users_(options_, controllers_, checker_, random_, clock_),
      host_(make_host()),
      failures_(options_, deployment_.zones.back(), *host_, controllers_),
      progress_(options_.directory, *host_, controllers_) {
  for (const auto& team : deployment_.teams) checker_.team_limit[team.name] = team.limit;
  checker_.cancel_ms = kCancelMs;
  watch_machines();
  order_machines();
}

Run::~Run() {
  controllers_.kill_all();
}

std::unique_ptr<simulators::Host> Run::make_host() {
  simulators::HostOptions host;
  host.heartbeat_ms = to_ms(options_.heartbeat_s);
  host.lease_ms = to_ms(options_.lease_s);
  host.tick_ms = kTickMs;
  host.list_lag_ms = kListLagMs;
  host.own_sockets = true;
  host.commands = options_.commands;
  host.command_port = options_.port;
  host.repeat_commands_ms = to_ms(options_.repeat_commands_s);
  host.machines = options_.workers / static_cast<int>(deployment_.zones.size()) + 1;
  const std::vector<wire::MachineType> types = {
      {kMachineType, kWorkerCpus, 0, 4.0 * kWorkerCpus, 50, 10, 0.4, 0.2, 1, deployment_.zones}};
  return std::make_unique<simulators::Host>(
      base_.get(), service_address(options_, 0), service_address(options_, 1),
      controllers_.addresses(), types,
      [this](const std::string& job, std::uint32_t) { return task_run_s(job); }, host);
}

// What is there at the start is anywhere in its run.
double Run::task_run_s(const std::string& job) {
  const bool first = users_.submitted_at(job) == 0;
  std::uniform_real_distribution<> share(first ? 0.0 : kMinRun, first ? 1.0 : kMaxRun);
  return options_.run_s * share(random_);
}

void Run::watch_machines() {
  host_->on_started = [this](const auto& place, const std::string& job, std::uint32_t task) {
    checker_.start(clock_.now(), place, job, task);
    ++starts_;
    running_most_ = std::max(running_most_, ++running_);
    if (!progress_.measuring()) return;
    const auto priority = priority_name(checker_.jobs.at(job).spec.priority);
    const auto waited_ms = clock_.now() - users_.submitted_at(job);
    start_times_[priority].add(static_cast<double>(waited_ms) / 1000);
  };
  host_->on_left = [this](const auto& place, const std::string& job, std::uint32_t task) {
    checker_.leave(place, job, task);
    --running_;
  };
  host_->on_done = [this](const auto&, const std::string& job, std::uint32_t task) {
    checker_.done(clock_.now(), job, task);
  };
}

void Run::order_machines() {
  const auto& zones = deployment_.zones;
  for (std::size_t z = 0; z < zones.size(); ++z)
    host_->set_delay(zones[z],
                     options_.region_delay_ms * static_cast<int>(z) / options_.zones_per_region);
  for (int i = 0; i < options_.workers; ++i)
    host_->cloud().scale_out(simulators::steady_ms(), kMachineType,
                             zones[static_cast<std::size_t>(i) % zones.size()], false);
}

Result Run::play(std::function<bool()> interrupted) {
  interrupted_ = std::move(interrupted);
  clock_.restart();
  controllers_.start_all();
  users_.fill_fleet();
  auto* tick_event = event_new(
      base_.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Run*>(self)->tick(); }, this);
  const timeval every{0, kTickMs * 1000};
  event_add(tick_event, &every);
  event_base_dispatch(base_.get());
  event_free(tick_event);
  return result();
}

void Run::tick() {
  const auto now = clock_.now();
  controllers_.tick(now);
  users_.act();
  if (options_.failures) failures_.tick(now);
  if (now >= next_check_at_) {
    next_check_at_ = now + kCheckMs;
    checker_.tick(now);
  }
  progress_.tick(now, counts());
  // The fleet fills for as long as a task runs; from then on it is what the options say.
  if (!progress_.measuring() && now >= to_ms(options_.run_s))
    progress_.begin_measuring(now, counts());
  if (is_over()) event_base_loopbreak(base_.get());
}

bool Run::is_over() const {
  const auto now = clock_.now();
  const auto last_submission = to_ms(options_.seconds);
  return (now > last_submission && users_.all_over()) || interrupted_() ||
         now > last_submission + to_ms(options_.settle_s);
}

Progress::Counts Run::counts() const {
  return {starts_, running_, checker_.what.size()};
}

Result Run::result() const {
  Result r;
  r.options = options_;
  const auto& users = users_.totals();
  r.jobs = users.jobs;
  r.jobs_accepted = users.accepted;
  r.jobs_done = users.done;
  r.refused = users.refused;
  r.accept_times = users.accept_times;
  r.starts = starts_;
  r.start_times = start_times_;
  r.tasks_most = running_most_;
  r.leases_lost_in_cut = failures_.leases_lost_in_cut();
  r.broken = checker_.what;
  progress_.fill(r, clock_.now());
  return r;
}

}  // namespace hitchfront::scale
