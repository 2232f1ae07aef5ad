// A drill: controllers as real processes, each on an address of its own of 127.0.0.0/8, of one
// build or another, against the simulators, while a plan replaces, kills and freezes them and
// breaks the state service. Users submit, poll and cancel; the plain judge of the tests watches.
// docs/drills.md.
#include <event2/event.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "simulators/host.hpp"
#include "simulators/process.hpp"
#include "tests/simulation/invariant_checker.hpp"

namespace hitchfront {
namespace {
using nlohmann::json;

constexpr std::int64_t kTickMs = 50, kPollMs = 1000,
                       kBackMs = 1000;  // a process is back this long after it ended
constexpr std::int64_t kCancelMs = 30'000, kMostMs = 600'000;
// ms between the load balancer's probes, and before a controller that was unhealthy may be healthy
// again.
constexpr std::int64_t kProbeMs = 1000, kWellMs = 3000;
// ms after a loss within which a controller of the plan's `unreachable` build may tell users what
// was lost, and within which the last refusal has to come after the last step.
constexpr std::int64_t kLossUnawareMs = 20'000, kRefusedMs = 20'000;
constexpr std::int64_t kReadMs = 1000;  // between two readings of a controller's copy

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

class Drill {
 public:
  Drill(json plan, std::map<std::string, std::string> builds, std::string dir, int port,
        std::uint64_t seed)
      : plan_(std::move(plan)),
        builds_(std::move(builds)),
        dir_(std::move(dir)),
        port_(port),
        random_(seed),
        history_(dir_ + "/history.jsonl") {
    base_ = event_base_new();
    const int n = plan_.value("controllers", 3);
    for (int i = 0; i < n; ++i) {
      nodes_.emplace_back();
      nodes_.back().name = "a-" + std::to_string(i);
      nodes_.back().build = plan_.value("start", "new");
      nodes_.back().client = std::make_unique<net::Client>(
          base_, at(i, 0), 50, [this](std::uint64_t id, int status, std::string body) {
            const auto it = asked_.find(id);
            if (it == asked_.end()) return;
            const auto done = std::move(it->second);
            asked_.erase(it);
            done(status, body);
          });
    }
    std::map<std::string, std::string> addresses;
    for (int i = 0; i < n; ++i) addresses[nodes_[static_cast<std::size_t>(i)].name] = at(i, 0);
    host_ = std::make_unique<simulators::Host>(
        base_, state(), cloud(), addresses,
        std::vector<wire::MachineType>{{"small", 4, 0, 16, 50, 5, 0.2, 0.06, 1, {"east"}}},
        [](const std::string&, std::uint32_t) { return 2.0; });
    host_->on_started = [this](const auto& place, const std::string& id, std::uint32_t t) {
      checker_.start(now(), place, id, t);
      log_event(
          {{"event", "started"}, {"task", id + "/" + std::to_string(t)}, {"machine", place.name}});
    };
    host_->on_left = [this](const auto& place, const std::string& id, std::uint32_t t) {
      checker_.leave(place, id, t);
      log_event(
          {{"event", "left"}, {"task", id + "/" + std::to_string(t)}, {"machine", place.name}});
    };
    host_->on_done = [this](const auto&, const std::string& id, std::uint32_t t) {
      checker_.done(now(), id, t);
    };
    checker_.team_limit["red"] = 16;
    checker_.cancel_ms = kCancelMs;
  }
  ~Drill() {
    for (auto& node : nodes_) end(node);
    host_.reset();
    for (auto& node : nodes_) node.client.reset();
    event_base_free(base_);
  }

  int run() {
    began_ = now_ms();
    for (auto& node : nodes_) start(node);
    auto* tick = event_new(
        base_, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<Drill*>(self)->tick(); }, this);
    const timeval every{0, kTickMs * 1000};
    event_add(tick, &every);
    event_base_dispatch(base_);
    event_free(tick);
    std::size_t finished = 0, accepted = 0;
    for (const auto& u : users_) {
      accepted += u.accepted ? 1 : 0;
      finished += u.over ? 1 : 0;
    }
    const auto* level = host_->store().value("level");
    std::string rules;
    for (const auto& r : checker_.broken) rules += " " + r;
    const auto steps = plan_.value("steps", json::array());
    const auto last_step =
        steps.empty() ? 0 : static_cast<std::int64_t>(steps.back()["at"].get<double>() * 1000);
    const double refused_s =
        static_cast<double>(std::max<std::int64_t>(0, last_refused_ - last_step)) / 1000;
    std::printf(
        "%zu of %zu jobs finished, %zu tasks started, answers 2xx %zu, other %zu, refused until "
        "%.1f s after the last step, level %s, broken:%s (%zu of %zu by deaf)\n",
        finished, accepted, checker_.started, good_, other_, refused_s,
        level == nullptr ? "none" : level->dump().c_str(),
        rules.empty() ? " nothing" : rules.c_str(), by_loss_unaware_, checker_.what.size());
    for (std::size_t i = 0; i < checker_.what.size() && i < 3; ++i)
      std::printf("  %s\n", checker_.what[i].c_str());
    const auto want = plan_.value("expect_level", 0);
    const bool as_wanted = want == 0 || (level != nullptr && level->value("active", 0) == want &&
                                         level->value("low", 0) == want);
    return checker_.what.size() == by_loss_unaware_ && finished + gone_.size() >= accepted &&
                   accepted > 0 && as_wanted && refused_s * 1000 <= kRefusedMs
               ? 0
               : 1;
  }

 private:
  struct Node {
    std::string name, build;
    std::unique_ptr<net::Client> client;
    // As the load balancer sees it: users are sent to healthy controllers alone.
    bool healthy = false, ever = false, probing = false;
    int good = 0, bad = 0;
    std::int64_t probe_at = 0, well_at = 0;
    simulators::Process process;
    std::int64_t back_at = 0, awake_at = 0;
  };
  struct User {
    std::string id;
    json body;
    std::int64_t next = 0, born = 0, cancel_at = 0;
    bool accepted = false, over = false, waiting = false, by_loss_unaware = false;
    std::int64_t accepted_at = 0;
  };
  std::int64_t now() const { return now_ms() - began_; }
  std::string at(int i, int which) const {
    return "127.0.0." + std::to_string(10 + i) + ":" + std::to_string(port_ + which);
  }
  std::string state() const { return "127.0.0.9:" + std::to_string(port_); }
  std::string cloud() const { return "127.0.0.9:" + std::to_string(port_ + 1); }
  void log_event(json line) {
    line["ms"] = now();
    history_ << line.dump() << "\n";
  }

  void start(Node& node) {
    const auto i = static_cast<int>(&node - nodes_.data());
    json known = json::array();
    for (int k = 0; k < static_cast<int>(nodes_.size()); ++k)
      if (k != i)
        known.push_back({{"node", nodes_[static_cast<std::size_t>(k)].name},
                         {"area", "east"},
                         {"endpoint", at(k, 1)}});
    const json settings = {
        {"node", node.name},
        {"area", "east"},
        {"client_listen", at(i, 0)},
        {"peer_listen", at(i, 1)},
        {"known", known},
        {"services", {{"cloud", cloud()}, {"state", state()}}},
        {"params",
         {{"nodes", nodes_.size()},
          {"zones", {"east"}},
          {"teams", {{{"name", "red"}, {"cpus", 8}, {"cpus_max", 16}}}},
          {"workers", {{"report_s", 1}, {"lease_s", 10}, {"cancel_s", kCancelMs / 1000}}},
          {"state", {{"rps", 500}, {"write_rps", 200}, {"value_kb", 8}, {"txn_ops", 12}}},
          {"cloud", {{"rps", 10}, {"list_lag_s", 1}}},
          {"resources", {{"cores", 0.5}, {"memory_mb", 72}, {"max_connections", 200}}},
          {"time_bound_ms", 10}}}};
    const auto file = dir_ + "/" + node.name + ".json", log = dir_ + "/" + node.name + ".log";
    std::ofstream(file) << settings.dump();
    const auto& program = builds_.at(node.build);
    node.process.start(program, {"--log-format", "json", "--config", file}, log);
    log_event({{"event", "start"}, {"node", node.name}, {"build", node.build}});
  }
  void end(Node& node) {
    if (!node.process.running()) return;
    node.process.kill();
    node.back_at = now() + kBackMs;
    node.awake_at = 0;
    log_event({{"event", "end"}, {"node", node.name}});
  }
  bool is(const Node& node, const json& who) const {
    if (who == "all" || who == node.name) return true;
    const auto* leader = host_->store().value("leader");
    return who == "leader" && leader != nullptr && leader->value("node", "") == node.name;
  }

  void step(const json& s) {
    const auto what = s.at("do").get<std::string>();
    log_event({{"event", "step"}, {"step", s}});
    auto& store = host_->store();
    if (what == "back" || what == "lose-all") {
      lost_at_ = now();
      // What such a controller alone knew: the others read the store once a second.
      for (const auto& u : users_)
        if (u.by_loss_unaware && now() - u.accepted_at < kReadMs) gone_.insert(u.id);
    }
    if (what == "back") return store.put_back(now_ms(), *kept_.at(s.at("at").get<double>()));
    if (what == "lose-all") return store.lose_all(now_ms());
    if (what == "outage" || what == "mend") return store.set_outage(now_ms(), what == "outage");
    std::vector<Node*> whom;
    for (auto& node : nodes_)
      if (is(node, s.at("node"))) whom.push_back(&node);
    for (auto* node : whom) {
      if (what == "freeze" && node->process.running()) {
        node->process.freeze();
        node->awake_at = now() + static_cast<std::int64_t>(s.at("for").get<double>() * 1000);
      } else if (what == "replace" || what == "kill") {
        if (what == "replace") node->build = s.at("with").get<std::string>();
        end(*node);
      }
    }
  }

  void tick() {
    const auto t = now();
    for (const auto& s : plan_.value("steps", json::array())) {
      const double when = s.at("at").get<double>();
      if (s.at("do") == "back" && !kept_.contains(when) &&
          t >= static_cast<std::int64_t>((when - s.at("by").get<double>()) * 1000))
        kept_[when] = host_->store().keep();
    }
    while (next_step_ < plan_.value("steps", json::array()).size() &&
           static_cast<double>(t) / 1000 >= plan_["steps"][next_step_]["at"].get<double>())
      step(plan_["steps"][next_step_++]);
    for (auto& node : nodes_) {
      if (node.process.running() && node.awake_at != 0 && t >= node.awake_at) {
        node.process.thaw();
        node.awake_at = 0;
      }
      if (!node.process.running() && t >= node.back_at) start(node);
    }
    for (auto& node : nodes_) probe(node, t);
    users(t);
    checker_.tick(t);
    const auto run = static_cast<std::int64_t>(plan_.value("run_s", 60.0) * 1000),
               settle = static_cast<std::int64_t>(plan_.value("settle_s", 60.0) * 1000);
    const bool all = t > run && next_step_ == plan_.value("steps", json::array()).size() &&
                     std::all_of(users_.begin(), users_.end(),
                                 [](const User& u) { return u.over || !u.accepted; });
    if (all || t > std::min(run + settle, kMostMs)) event_base_loopbreak(base_);
  }

  void probe(Node& node, std::int64_t t) {
    if (node.probing || t < node.probe_at) return;
    node.probing = true;
    node.probe_at = t + kProbeMs;
    core::HttpCall c;
    c.id = next_call_++;
    c.path = "/healthz";
    c.timeout_ms = kProbeMs;
    asked_[c.id] = [this, &node](int status, const std::string&) {
      node.probing = false;
      node.good = status == 200 ? node.good + 1 : 0;
      node.bad = status == 200 ? 0 : node.bad + 1;
      if (node.healthy && node.bad >= 2) {
        node.healthy = false;
        node.well_at = now() + kWellMs;
        log_event({{"event", "unhealthy"}, {"node", node.name}});
      } else if (!node.healthy &&
                 (node.ever ? node.good >= 2 && now() >= node.well_at : node.good >= 1)) {
        node.healthy = node.ever = true;
        log_event({{"event", "healthy"}, {"node", node.name}});
      }
    };
    node.client->call(std::move(c));
  }

  void ask(const std::string& path, core::Method method, std::string body,
           std::function<void(int, const std::string&)> done) {
    core::HttpCall c;
    c.id = next_call_++;
    c.method = method;
    c.path = path;
    c.body = std::move(body);
    c.timeout_ms = 4000;
    std::vector<Node*> healthy;
    for (auto& node : nodes_)
      if (node.healthy) healthy.push_back(&node);
    auto* node = healthy.empty() ? nullptr : healthy[random_() % healthy.size()];
    const bool loss_unaware = node != nullptr && node->build == plan_.value("loss_unaware", "");
    const auto call = [this, node, loss_unaware, path, done = std::move(done)](
                          int status, const std::string& text) {
      ++(status >= 200 && status < 300 ? good_ : other_);
      answers_loss_unaware_ = loss_unaware;
      answers_by_ = node != nullptr ? node->name + " (" + node->build + ")" : "nobody";
      if (status == 503 || status == 429) last_refused_ = now();
      const auto before = checker_.what.size();
      done(status, text);
      // A version that heeds no loss and still serves users tells them what stands there until it
      // is rebuilt.
      const bool only_loss_unaware_knew =
          path.size() > 6 && gone_.contains(path.substr(6, path.find('/', 6) - 6));
      if ((loss_unaware && now() - lost_at_ < kLossUnawareMs) || only_loss_unaware_knew)
        by_loss_unaware_ += checker_.what.size() - before;
    };
    if (node == nullptr) return call(0, "");
    asked_[c.id] = call;
    node->client->call(std::move(c));
  }

  void users(std::int64_t t) {
    const auto run = static_cast<std::int64_t>(plan_.value("run_s", 60.0) * 1000);
    if (t < run && t >= next_job_) {
      next_job_ = t + static_cast<std::int64_t>(1000 / plan_.value("jobs_per_s", 1.0));
      User u;
      u.id = "run-" + std::to_string(100000 + users_.size());
      const int tasks = 1 + static_cast<int>(random_() % 6);
      u.body = {{"Ref", u.id},
                {"Docket", "c"},
                {"Desk", "red"},
                {"Form", "sweep"},
                {"Standing", "standard"},
                {"Lots", tasks},
                {"Cpus", 1.0},
                {"Cards", 0.0},
                {"RamGb", 1.0},
                {"Together", false},
                {"Spread", false},
                {"Loaners", true},
                {"Kit", "img"},
                {"ImageGb", 0.1},
                {"ReckonS", 2.0},
                {"MarkS", 0.0},
                {"StowS", 0.0}};
      checker_.jobs[u.id].spec = *wire::parse_job(u.body.dump()).job;
      u.born = t;
      if (random_() % 6 == 0) u.cancel_at = t + 500 + static_cast<std::int64_t>(random_() % 8000);
      users_.push_back(std::move(u));
    }
    for (std::size_t i = 0; i < users_.size(); ++i) {
      auto& u = users_[i];
      if (u.waiting || t < u.next || (!u.accepted && t > u.born + 60'000)) continue;
      u.waiting = true;
      u.next = t + (u.over ? 7 : 1) * kPollMs;
      const auto state_in = [](const std::string& text) {
        const auto o = json::parse(text, nullptr, false);
        return o.is_object() ? o.value("Status", "") : std::string();
      };
      const auto note = [this, i](const char* what, int status, const std::string& state) {
        log_event({{"event", what},
                   {"job", users_[i].id},
                   {"status", status},
                   {"state", state},
                   {"by", answers_by_}});
      };
      if (!u.accepted) {
        checker_.jobs[u.id].submitted = true;
        ask("/work", core::Method::post, u.body.dump(),
            [this, i, state_in, note, asked = t](int status, const std::string& text) {
              auto& x = users_[i];
              x.waiting = false;
              checker_.submitted_answer(now(), x.id, status);
              if (status == 200 || status == 201) {
                x.accepted = true;
                x.accepted_at = now();
                x.by_loss_unaware = answers_loss_unaware_;
                checker_.polled(now(), asked, x.id, 200, state_in(text));
              }
              note("submit", status, state_in(text));
            });
      } else if (u.cancel_at != 0 && t >= u.cancel_at && !u.over) {
        checker_.jobs[u.id].cancel_asked = true;
        ask("/work/" + u.id + "/abort", core::Method::post, "",
            [this, i, state_in, note, asked = t](int status, const std::string& text) {
              auto& x = users_[i];
              x.waiting = false;
              checker_.cancelled(now(), asked, x.id, status, state_in(text));
              x.over = x.over || status == 200;
              note("cancel", status, state_in(text));
            });
      } else {
        ask("/work/" + u.id, core::Method::get, "",
            [this, i, state_in, note, asked = t](int status, const std::string& text) {
              auto& x = users_[i];
              x.waiting = false;
              const auto state = state_in(text);
              checker_.polled(now(), asked, x.id, status, state);
              x.over = x.over || (status == 200 && (state == "done" || state == "withdrawn"));
              note("poll", status, state);
            });
      }
    }
  }

  json plan_;
  std::map<std::string, std::string> builds_;
  std::string dir_;
  int port_;
  std::mt19937_64 random_;
  std::ofstream history_;
  event_base* base_ = nullptr;
  std::vector<Node> nodes_;
  std::unique_ptr<simulators::Host> host_;
  testing::InvariantChecker checker_;
  std::map<double, std::shared_ptr<const simulators::Store::Kept>> kept_;
  std::vector<User> users_;
  std::map<std::uint64_t, std::function<void(int, const std::string&)>> asked_;
  std::uint64_t next_call_ = 1;
  std::size_t next_step_ = 0, good_ = 0, other_ = 0, by_loss_unaware_ = 0;
  std::int64_t began_ = 0, next_job_ = 500, lost_at_ = -kLossUnawareMs, last_refused_ = 0;
  std::string answers_by_;  // who gave the answer that is being dealt with
  bool answers_loss_unaware_ = false;
  std::set<std::string>
      gone_;  // jobs that a controller of the `unreachable` build accepted right before a loss
};

}  // namespace
}  // namespace hitchfront

int main(int argc, char** argv) {
  CLI::App app{
      "Plays a plan with real controllers on loopback, and judges what users and machines saw",
      "hitchfront_drill"};
  std::string plan, dir = ".";
  std::vector<std::string> programs;
  int port = 18000;
  std::uint64_t seed = 1;
  app.add_option("--plan", plan, "The plan (JSON)")->required()->check(CLI::ExistingFile);
  app.add_option("--build", programs, "A build of the service, as NAME=PROGRAM")->required();
  app.add_option("--dir", dir, "Where history, settings and logs go")
      ->capture_default_str()
      ->check(CLI::ExistingDirectory);
  app.add_option("--port", port, "First of the two ports on each address")->capture_default_str();
  app.add_option("--seed", seed, "Of the users' draws")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::map<std::string, std::string> builds;
  for (const auto& b : programs) {
    const auto equals = b.find('=');
    if (equals == std::string::npos || access(b.c_str() + equals + 1, X_OK) != 0) {
      std::fprintf(stderr, "--build %s: must be NAME=PROGRAM, and the program must be there\n",
                   b.c_str());
      return 2;
    }
    builds[b.substr(0, equals)] = b.substr(equals + 1);
  }
  std::ifstream in(plan);
  const auto parsed = nlohmann::json::parse(in, nullptr, false);
  if (!parsed.is_object()) {
    std::fprintf(stderr, "%s: not a JSON object\n", plan.c_str());
    return 2;
  }
  try {
    return hitchfront::Drill(parsed, builds, dir, port, seed).run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s: %s\n", plan.c_str(), e.what());
    return 2;
  }
}
