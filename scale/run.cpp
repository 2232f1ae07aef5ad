#include "scale/run.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace hitchfront::scale {
namespace {
using nlohmann::json;

constexpr std::int64_t kTickMs = 100, kLookMs = 5000, kPollMs = 5000, kRetryMs = 1000;
constexpr std::int64_t kRequestMs = 5000;   // that a user waits
constexpr std::int64_t kCheckMs = 2000;     // between two looks for cancelled tasks that go on
constexpr std::int64_t kCancelMs = 60'000;  // of the settings
constexpr int kUserConnections = 40;        // to each controller
constexpr int kUrgentTasks = 4;
constexpr std::int64_t kBackMs = 1000;        // from a process's end until it is started again
constexpr std::int64_t kReplacedMs = 10'000;  // the same for one that is replaced
constexpr double kBrokenFrom = 0.45;  // of the submissions' time: the zone is cut, then the rest
constexpr std::int64_t kCutBeyondLeaseMs = 6000;
constexpr double kTeamSpare = 2;     // a team's limit, times its guarantee
constexpr double kGuaranteed = 0.6;  // of all processors

std::int64_t steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
std::string region_name(int region) {
  return "r" + std::to_string(region);
}
std::string state_in(const std::string& text) {
  const auto o = json::parse(text, nullptr, false);
  return o.is_object() ? o.value("Status", "") : std::string();
}
const char* priority_name(wire::Priority p) {
  return p == wire::Priority::high ? "urgent" : p == wire::Priority::low ? "idle" : "standard";
}

}  // namespace

Run::Run(Options options)
    : options_(std::move(options)),
      base_(event_base_new()),
      progress_(options_.directory + "/progress.jsonl"),
      table_(options_.directory + "/progress.tsv") {
  result_.options = options_;
  for (int r = 0; r < options_.regions; ++r)
    for (int z = 0; z < options_.zones_per_region; ++z)
      zones_.push_back(region_name(r) + "-" + std::to_string(z));
  std::map<std::string, std::string> addresses;
  for (int i = 0; i < options_.controllers; ++i) {
    controllers_.emplace_back();
    auto& c = controllers_.back();
    c.name = "c-" + std::to_string(i);
    c.region = region_name(i % options_.regions);
    addresses[c.name] = controller_address(options_, static_cast<std::size_t>(i), 0);
    c.client =
        std::make_unique<net::Client>(base_, addresses[c.name], kUserConnections,
                                      [this](std::uint64_t id, int status, std::string body) {
                                        const auto it = asked_.find(id);
                                        if (it == asked_.end()) return;
                                        const auto done = std::move(it->second);
                                        asked_.erase(it);
                                        done(status, body);
                                      });
  }
  simulators::HostOptions host;
  host.heartbeat_ms = static_cast<std::int64_t>(options_.heartbeat_s * 1000);
  host.lease_ms = static_cast<std::int64_t>(options_.lease_s * 1000);
  host.tick_ms = kTickMs;
  host.list_lag_ms = 5000;
  host.own_sockets = true;
  host.commands = options_.commands;
  host.command_port = options_.port;
  host.machines = options_.workers / static_cast<int>(zones_.size()) + 1;
  const std::vector<wire::MachineType> types = {
      {"worker", kWorkerCpus, 0, 4.0 * kWorkerCpus, 50, 10, 0.4, 0.2, 1, zones_}};
  host_ = std::make_unique<simulators::Host>(
      base_, service_address(options_, 0), service_address(options_, 1), addresses, types,
      [this](const std::string& id, std::uint32_t) {
        // What is there at the start is anywhere in its run.
        const bool first = submitted_.at(id) == 0;
        return options_.run_s *
               std::uniform_real_distribution<>(first ? 0.0 : 0.7, first ? 1.0 : 1.3)(random_);
      },
      host);
  for (std::size_t z = 0; z < zones_.size(); ++z)
    host_->set_delay(zones_[z],
                     options_.region_delay_ms * static_cast<int>(z) / options_.zones_per_region);
  host_->on_started = [this](const auto& place, const std::string& id, std::uint32_t t) {
    checker_.start(now(), place, id, t);
    ++running_;
    running_most_ = std::max(running_most_, running_);
    ++result_.starts;
    if (measured_from_ > 0)
      result_.start_times[priority_name(checker_.jobs.at(id).spec.priority)].add(
          static_cast<double>(now() - submitted_.at(id)) / 1000);
  };
  host_->on_left = [this](const auto& place, const std::string& id, std::uint32_t t) {
    checker_.leave(place, id, t);
    --running_;
  };
  host_->on_done = [this](const auto&, const std::string& id, std::uint32_t t) {
    checker_.done(now(), id, t);
  };
  for (int i = 0; i < options_.workers; ++i)
    host_->cloud().scale_out(steady_ms(), "worker",
                             zones_[static_cast<std::size_t>(i) % zones_.size()], false);
  const double guarantee = options_.workers * kWorkerCpus * kGuaranteed / options_.teams;
  for (int t = 0; t < options_.teams; ++t)
    checker_.team_limit["team-" + std::to_string(t)] = guarantee * kTeamSpare * 2;
  checker_.cancel_ms = kCancelMs;
  table_ << "# s\tworkers\trunning\tstarts a second\tbusiest controller\tall controllers\n";
}

Run::~Run() {
  for (auto& c : controllers_) c.process.kill();
  host_.reset();
  for (auto& c : controllers_) c.client.reset();
  event_base_free(base_);
}

std::int64_t Run::now() const {
  return steady_ms() - began_;
}

json Run::settings(std::size_t controller) const {
  json known = json::array(), teams = json::array();
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    if (i != controller)
      known.push_back({{"node", controllers_[i].name},
                       {"area", controllers_[i].region + "-0"},
                       {"endpoint", controller_address(options_, i, 1)}});
  for (const auto& [name, limit] : checker_.team_limit)
    teams.push_back({{"name", name}, {"cpus", limit / kTeamSpare / 2}, {"cpus_max", limit}});
  return {
      {"node", controllers_[controller].name},
      {"area", controllers_[controller].region + "-0"},
      {"client_listen", controller_address(options_, controller, 0)},
      {"peer_listen", controller_address(options_, controller, 1)},
      {"known", known},
      {"services",
       {{"cloud", service_address(options_, 1)}, {"state", service_address(options_, 0)}}},
      {"params",
       {{"nodes", controllers_.size()},
        {"zones", zones_},
        {"teams", teams},
        {"workers",
         {{"report_s", options_.heartbeat_s},
          {"lease_s", options_.lease_s},
          {"cancel_s", kCancelMs / 1000}}},
        {"state",
         {{"rps", options_.store_requests},
          {"write_rps", options_.store_writes},
          {"value_kb", 32},
          {"txn_ops", 24}}},
        {"cloud", {{"rps", 10}, {"list_lag_s", 5}}},
        {"resources", {{"cores", options_.cores}, {"memory_mb", 512}, {"max_connections", 20'000}}},
        {"time_bound_ms", 10}}}};
}

void Run::start(Controller& c) {
  const auto i = static_cast<std::size_t>(&c - controllers_.data());
  const auto file = options_.directory + "/" + c.name + ".json";
  std::ofstream(file) << settings(i).dump();
  if (!c.process.start(options_.program, {"--log-format", "json", "--config", file},
                       options_.directory + "/" + c.name + ".log"))
    std::fprintf(stderr, "hitchfront_scale: %s can't be started\n", c.name.c_str());
}

void Run::end(Controller& c, std::int64_t back_after_ms) {
  if (const auto usage = c.process.usage()) c.last_s = usage->processor_s;
  c.process.kill();
  c.ended_s += std::exchange(c.last_s, 0);
  c.back_at = now() + back_after_ms;
}

// As many tasks as run at any moment.
void Run::fill() {
  const auto jobs = static_cast<int>(jobs_per_s(options_) * options_.run_s) + 1;
  for (int i = 0; i < jobs; ++i)
    add_job(0, false,
            std::max(1, static_cast<int>(starts_per_s(options_) * options_.run_s / jobs)));
}

Result Run::play(std::function<bool()> interrupted) {
  interrupted_ = std::move(interrupted);
  began_ = steady_ms();
  for (auto& c : controllers_) start(c);
  fill();
  auto* tick_event = event_new(
      base_, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Run*>(self)->tick(); }, this);
  const timeval every{0, kTickMs * 1000};
  event_add(tick_event, &every);
  event_base_dispatch(base_);
  event_free(tick_event);
  return result();
}

void Run::tick() {
  const auto t = now();
  for (auto& c : controllers_) {
    if (c.process.ended()) end(c, kBackMs);
    if (!c.process.running() && t >= c.back_at) start(c);
  }
  act_on_users(t);
  if (options_.failures) break_things(t);
  if (t % kCheckMs < kTickMs) checker_.tick(t);
  if (t >= next_look_) look(t);
  // The fleet fills for as long as a task runs; from then on it is what the options say.
  if (measured_from_ == 0 && t >= static_cast<std::int64_t>(options_.run_s * 1000))
    begin_measuring(t);
  const auto last = static_cast<std::int64_t>(options_.seconds) * 1000;
  const bool over = t > last && std::all_of(users_.begin(), users_.end(),
                                            [](const User& u) { return u.over || !u.accepted; });
  if (over || interrupted_() || t > last + static_cast<std::int64_t>(options_.settle_s) * 1000)
    event_base_loopbreak(base_);
}

// ---- users
// ------------------------------------------------------------------------------------------------------------

void Run::act_on_users(std::int64_t t) {
  if (t < static_cast<std::int64_t>(options_.seconds) * 1000) submit_jobs(t);
  for (std::size_t i = 0; i < users_.size(); ++i)
    if (!users_[i].waiting && !users_[i].over && t >= users_[i].next) act(i, t);
}

void Run::submit_jobs(std::int64_t t) {
  due_jobs_ +=
      jobs_per_s(options_) * static_cast<double>(t - std::exchange(last_submit_, t)) / 1000;
  const auto chance = [this](double p) {
    return std::uniform_real_distribution<>(0, 1)(random_) < p;
  };
  for (; due_jobs_ >= 1; due_jobs_ -= 1) {
    const bool urgent = chance(options_.urgent);
    const double standard =
        (starts_per_s(options_) / jobs_per_s(options_) - options_.urgent * kUrgentTasks) /
        (1 - std::min(options_.urgent, 0.99));
    const int tasks = std::max(
        1, static_cast<int>(standard * std::uniform_real_distribution<>(0.5, 1.5)(random_)));
    add_job(t, urgent, urgent ? kUrgentTasks : tasks);
  }
}

void Run::add_job(std::int64_t t, bool urgent, int tasks) {
  User u;
  u.id = "run-" + std::to_string(1'000'000 + users_.size());
  const auto team =
      "team-" + std::to_string(std::uniform_int_distribution<int>(0, options_.teams - 1)(random_));
  u.body = json{
      {"Ref", u.id},
      {"Docket", urgent ? "alert" : "batch"},
      {"Desk", team},
      {"Form", "sweep"},
      {"Standing", urgent ? "urgent" : "standard"},
      {"Lots", std::min(tasks, static_cast<int>(wire::kMaxTasks))},
      {"Cpus", 1.0},
      {"Cards", 0.0},
      {"RamGb", 2.0},
      {"Together", false},
      {"Spread", false},
      {"Loaners", true},
      {"Kit", "img"},
      {"ImageGb", 0.5},
      {"ReckonS", options_.run_s},
      {"MarkS", 0.0},
      {"StowS",
       0.0}}.dump();
  u.submitted = u.next = t;
  if (std::uniform_real_distribution<>(0, 1)(random_) < options_.cancelled)
    u.cancel_at = t + static_cast<std::int64_t>(options_.run_s * 500);
  checker_.jobs[u.id].spec = *wire::parse_job(u.body).job;
  submitted_[u.id] = t;
  ++result_.jobs;
  users_.push_back(std::move(u));
}

void Run::act(std::size_t user, std::int64_t t) {
  auto& u = users_[user];
  u.waiting = true;
  if (!u.accepted) {
    checker_.jobs[u.id].submitted = true;
    return ask("/work", core::Method::post, u.body,
               [this, user](int status, const std::string& text) {
                 auto& x = users_[user];
                 x.waiting = false;
                 x.next = now() + kRetryMs;
                 checker_.submitted_answer(now(), x.id, status);
                 if (status != 200 && status != 201) return;
                 x.accepted = true;
                 ++result_.jobs_accepted;
                 result_.accept_times.add(static_cast<double>(now() - x.submitted) / 1000);
                 checker_.polled(now(), now(), x.id, 200, state_in(text));
               });
  }
  if (u.cancel_at != 0 && t >= u.cancel_at && !u.cancelled) {
    checker_.jobs[u.id].cancel_asked = true;
    return ask("/work/" + u.id + "/abort", core::Method::post, "",
               [this, user, t](int status, const std::string& text) {
                 auto& x = users_[user];
                 x.waiting = false;
                 x.next = now() + kRetryMs;
                 checker_.cancelled(now(), t, x.id, status, state_in(text));
                 x.cancelled = x.over = status == 200;
               });
  }
  ask("/work/" + u.id, core::Method::get, "", [this, user, t](int status, const std::string& text) {
    auto& x = users_[user];
    x.waiting = false;
    x.next = now() + kPollMs;
    const auto state = state_in(text);
    checker_.polled(now(), t, x.id, status, state);
    if (status != 200 || (state != "done" && state != "withdrawn")) return;
    x.over = true;
    ++result_.jobs_done;
  });
}

void Run::ask(const std::string& path, core::Method method, const std::string& body,
              OnAnswer done) {
  core::HttpCall c;
  c.id = next_call_++;
  c.method = method;
  c.path = path;
  c.body = body;
  c.timeout_ms = kRequestMs;
  asked_[c.id] = [this, done = std::move(done)](int status, const std::string& text) {
    if (status == 429 || status == 503) ++result_.refused;
    done(status, text);
  };
  controllers_[std::uniform_int_distribution<std::size_t>(0, controllers_.size() - 1)(random_)]
      .client->call(std::move(c));
}

// ---- failures
// ---------------------------------------------------------------------------------------------------------

Run::Controller* Run::leader() {
  const auto* stored = host_->store().value("leader");
  const auto name = stored == nullptr ? std::string() : stored->value("node", "");
  const auto it = std::find_if(controllers_.begin(), controllers_.end(),
                               [&](const Controller& c) { return c.name == name; });
  return it == controllers_.end() ? nullptr : &*it;
}

// A zone is cut for longer than a lease; it is mended; the leader ends; another controller is
// replaced.
void Run::break_things(std::int64_t t) {
  const auto from = static_cast<std::int64_t>(kBrokenFrom * options_.seconds * 1000);
  const auto mended = from + static_cast<std::int64_t>(options_.lease_s * 1000) + kCutBeyondLeaseMs;
  const std::pair<std::int64_t, std::function<void()>> steps[] = {
      {from,
       [this] {
         leases_before_cut_ = host_->traffic().leases_lost;
         host_->cut(zones_.back());
       }},
      {mended,
       [this] {
         host_->mend(zones_.back());
         leases_after_cut_ = host_->traffic().leases_lost;
       }},
      {mended + kReplacedMs,
       [this] {
         if (auto* c = leader()) end(*c, kBackMs);
       }},
      {mended + 2 * kReplacedMs,
       [this] {
         const auto* first = leader();
         for (auto& c : controllers_)
           if (&c != first && c.process.running()) return end(c, kReplacedMs);
       }},
  };
  while (next_break_ < std::size(steps) && t >= steps[next_break_].first) {
    std::printf("{\"s\":%.1f,\"step\":%zu}\n", static_cast<double>(t) / 1000, next_break_);
    steps[next_break_++].second();
  }
}

// ---- measuring
// --------------------------------------------------------------------------------------------------------

void Run::begin_measuring(std::int64_t t) {
  measured_from_ = t;
  traffic_before_ = host_->traffic();
  requests_before_ = host_->store_requests();
  writes_before_ = host_->store().changes();
  starts_before_ = result_.starts;
  for (auto& c : controllers_) {
    c.measured_from_s = c.processor_s();
    c.peak = 0;
  }
}

void Run::look(std::int64_t t) {
  const double seconds = static_cast<double>(kLookMs + t - next_look_) / 1000;
  next_look_ = t + kLookMs;
  double busiest = 0, all = 0;
  for (auto& c : controllers_) {
    const auto usage = c.process.usage();
    if (!usage) continue;
    const double used = std::max(0.0, usage->processor_s - c.last_s) / seconds;
    c.last_s = usage->processor_s;
    c.peak = std::max(c.peak, used);
    c.memory_mb = std::max(c.memory_mb, static_cast<double>(usage->memory_bytes) / 1e6);
    busiest = std::max(busiest, used);
    all += used;
  }
  if (const auto* c = leader(); c != nullptr && c->name != last_leader_) {
    last_leader_ = c->name;
    ++result_.leaders;
  }
  const double rate =
      static_cast<double>(result_.starts - std::exchange(starts_looked_at_, result_.starts)) /
      seconds;
  table_ << static_cast<double>(t) / 1000 << '\t' << host_->machines() << '\t' << running_ << '\t'
         << rate << '\t' << busiest << '\t' << all << std::endl;
  if (measured_from_ > 0) {
    machines_seen_ += static_cast<double>(host_->machines());
    ++looks_;
  }
  const json line = {{"s", static_cast<double>(t) / 1000},
                     {"workers", host_->machines()},
                     {"running", running_},
                     {"starts_per_s", rate},
                     {"leader", last_leader_},
                     {"busiest", busiest},
                     {"all", all},
                     {"leases_lost", host_->traffic().leases_lost},
                     {"broken", checker_.what.size()}};
  progress_ << line.dump() << std::endl;
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

Result Run::result() const {
  auto r = result_;
  r.seconds = std::max(1.0, static_cast<double>(now() - measured_from_) / 1000);
  r.starts = result_.starts - starts_before_;
  r.workers_up = machines_seen_ / std::max(1.0, looks_);
  r.tasks_most = running_most_;
  const auto& traffic = host_->traffic();
  const double per_s = 1 / r.seconds;
  r.reports_per_s = static_cast<double>(traffic.heartbeats - traffic_before_.heartbeats) * per_s;
  r.commands_per_s = static_cast<double>(traffic.commands - traffic_before_.commands) * per_s;
  const auto bytes = traffic.heartbeat_bytes + traffic.answer_bytes + traffic.command_bytes -
                     traffic_before_.heartbeat_bytes - traffic_before_.answer_bytes -
                     traffic_before_.command_bytes;
  r.report_bytes_per_worker_s = static_cast<double>(bytes) * per_s / std::max(1.0, r.workers_up);
  r.store_requests_per_s = static_cast<double>(host_->store_requests() - requests_before_) * per_s;
  r.store_writes_per_s = static_cast<double>(host_->store().changes() - writes_before_) * per_s;
  r.leases_lost = traffic.leases_lost;
  r.leases_lost_in_cut = leases_after_cut_ - leases_before_cut_;
  for (const auto& c : controllers_)
    r.controllers.push_back(
        {c.name, (c.processor_s() - c.measured_from_s) * per_s, c.peak, c.memory_mb});
  r.broken = checker_.what;
  return r;
}

}  // namespace hitchfront::scale
