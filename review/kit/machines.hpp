// Stand-ins for the cloud and its workers, after PROTOCOL. A ledger of what is on which machine
// sees starts that break a rule.
#pragma once
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "controllers.hpp"

namespace review {

struct MachineType {
  std::string name;
  double cpus = 8, memory_gb = 32, price = 0.33, low_price = 0.13, startup_s = 2;
  std::vector<std::string> zones;
  double cards = 0;
};

struct Place {
  std::string name, type, zone;
  bool spot = false;
  double cpus = 0, memory_gb = 0;
};

// What the platform sees of starts and ends.
class Ledger {
 public:
  explicit Ledger(Record& record) : record_(record) {}

  // A task has its image: it is on the machine from now on.
  void started(const Place& place, const std::string& task, const nlohmann::json& job) {
    const std::lock_guard lock(mutex_);
    record_.line("%s (%s, %s) starts %s", place.name.c_str(), place.type.c_str(),
                 place.zone.c_str(), task.c_str());
    ++starts_;
    for (const auto& other : on_[task])
      if (other != place.name) {
        ++ran_twice_;
        record_.line("RULE ran_twice: %s starts on %s while it is on %s", task.c_str(),
                     place.name.c_str(), other.c_str());
      }
    if (!allowed(place, job)) {
      ++wrong_place_;
      record_.line("RULE wrong_place: %s may not run on %s", task.c_str(), place.name.c_str());
    }
    on_[task].insert(place.name);
  }
  void left(const Place& place, const std::string& task, const char* why) {
    const std::lock_guard lock(mutex_);
    if (on_[task].erase(place.name) > 0)
      record_.line("%s: %s is gone (%s)", place.name.c_str(), task.c_str(), why);
    if (std::string(why) == "done") done_.insert(task);
  }
  bool is_done(const std::string& task) {
    const std::lock_guard lock(mutex_);
    return done_.contains(task);
  }
  std::size_t done() {
    const std::lock_guard lock(mutex_);
    return done_.size();
  }
  bool on_any(const std::string& task) {
    const std::lock_guard lock(mutex_);
    return !on_[task].empty();
  }
  int starts() const { return starts_; }
  int ran_twice() const { return ran_twice_; }
  int wrong_place() const { return wrong_place_; }

 private:
  static bool allowed(const Place& place, const nlohmann::json& job) {
    const auto rigs = job.value("Rigs", nlohmann::json());
    if (rigs.is_array() && std::find(rigs.begin(), rigs.end(), place.type) == rigs.end())
      return false;
    const auto hall = job.value("Hall", nlohmann::json());
    if (hall.is_string() && hall != place.zone) return false;
    return job.value("Loaners", false) || !place.spot;
  }

  Record& record_;
  std::mutex mutex_;
  std::map<std::string, std::set<std::string>> on_;
  std::set<std::string> done_;
  std::atomic<int> starts_ = 0, ran_twice_ = 0, wrong_place_ = 0;
};

// One machine's agent: a thread that reports, and a server for direct commands.
class Worker {
 public:
  struct Setting {
    double report_s = 2, lease_s = 12;
    // Of the controllers: name and port.
    std::vector<std::pair<std::string, int>> nodes;
    // What a user submitted under this id; null: nothing.
    std::function<nlohmann::json(const std::string& job)> description;
    std::function<double(const std::string& task)> run_s;
    bool log_reports = true;
  };

  Worker(Place place, const Setting& setting, std::size_t first_node, Ledger& ledger,
         Record& record)
      : place_(std::move(place)),
        setting_(setting),
        node_(first_node),
        ledger_(ledger),
        record_(record),
        random_(std::hash<std::string>{}(place_.name)),
        session_began_(now_ms()),
        server_(0, [this](const Request& request) { return direct(request); }) {
    std::thread([this] { run(); }).detach();
    std::thread([this] { tick(); }).detach();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  // Workers live as long as the program.
  const Place& place() const { return place_; }
  std::string address() const { return server_.address(); }
  // The machine is gone, with everything on it.
  void vanish() {
    const std::lock_guard lock(mutex_);
    gone_ = true;
    kill_tasks("machine gone");
    changed_.notify_all();
  }

 private:
  using json = nlohmann::json;
  struct Task {
    std::uint64_t attempt = 0;
    std::string state = "fetching", cause;
    bool on = false, kept = false;
    std::int64_t next = 0;
  };

  json report() {
    json lots = json::array();
    for (const auto& [name, task] : tasks_) {
      json lot = {{"Lot", name}, {"Try", task.attempt}, {"Status", task.state}};
      if (task.state == "ended") {
        lot["Cause"] = task.cause;
        if (task.kept) lot["Kept"] = true;
      }
      lots.push_back(std::move(lot));
    }
    return {{"Post", place_.name},    {"Addr", server_.address()}, {"Rig", place_.type},
            {"Hall", place_.zone},    {"Loaners", place_.spot},    {"Tenure", session_},
            {"Tally", ++tally_},      {"Warrant", token_},         {"RecallS", nullptr},
            {"Lots", std::move(lots)}};
  }

  // One report after the other, each answered or given up before the next.
  void run() {
    std::unique_ptr<Client> client;
    std::size_t connected_to = SIZE_MAX;
    std::unique_lock lock(mutex_);
    while (!gone_) {
      const auto now = now_ms();
      const bool due = now >= not_before_ &&
                       (now >= next_report_ || (has_changed_ && now - last_sent_ >= kChangeMs));
      if (!due) {
        changed_.wait_for(lock, std::chrono::milliseconds(5));
        continue;
      }
      has_changed_ = false;
      last_sent_ = now;
      std::uniform_real_distribution<> spread(0.75, 1.25);
      next_report_ = now + static_cast<std::int64_t>(setting_.report_s * 1000 * spread(random_));
      const auto sent_session = session_;
      const auto body = report().dump();
      const auto node = node_;
      if (connected_to != node) client = std::make_unique<Client>(setting_.nodes[node].second);
      connected_to = node;
      lock.unlock();
      if (setting_.log_reports)
        record_.line("%s -> %s report %s", place_.name.c_str(), setting_.nodes[node].first.c_str(),
                     short_report(body).c_str());
      const auto reply = client->call("POST", "/agent/beat", body, kAnswerMs);
      lock.lock();
      if (gone_) return;
      answered(node, sent_session, now, reply);
      if (reply.status == 421) client.reset(), connected_to = SIZE_MAX;
    }
  }

  static std::string short_report(const std::string& body) {
    const auto report = json::parse(body);
    return json{{"Tenure", report["Tenure"]},
                {"Tally", report["Tally"]},
                {"Warrant", report["Warrant"]},
                {"Lots", report["Lots"]}}
        .dump();
  }

  void next_node() {
    node_ = (node_ + 1) % setting_.nodes.size();
    not_before_ = now_ms() + kNextNodeMs;
    has_changed_ = true;
  }

  void answered(std::size_t node, std::uint64_t sent_session, std::int64_t sent,
                const Reply& reply) {
    if (setting_.log_reports)
      record_.line("%s <- %s %d %s", place_.name.c_str(), setting_.nodes[node].first.c_str(),
                   reply.status, reply.body.c_str());
    const auto body = json::parse(reply.body, nullptr, false);
    if (reply.status == 421) {
      const auto to = body.is_object() ? body.value("AnswerTo", "") : "";
      for (std::size_t i = 0; i < setting_.nodes.size(); ++i)
        if (setting_.nodes[i].first == to && i != node) {
          node_ = i;
          next_report_ = 0;
          return;
        }
      return next_node();
    }
    if (reply.status != 200 || !body.is_object()) return next_node();
    const auto token = body.value("Warrant", std::uint64_t{0});
    if (!body.contains("Warrant") || token < token_ || sent_session != session_) return;
    see_token(token);
    answered_sent_ = std::max(answered_sent_, sent);
    execute(body.value("Orders", json::array()));
  }

  void see_token(std::uint64_t token) {
    if (token <= token_) return;
    token_ = token;
    const auto now = now_ms();
    if (now - token_change_at_ < static_cast<std::int64_t>(setting_.lease_s * 500)) return;
    token_change_at_ = now;
    has_changed_ = true;
  }

  Reply direct(const Request& request) {
    const std::lock_guard lock(mutex_);
    if (gone_) return {};
    if (request.path == "/status") return {200, report().dump()};
    const auto body = json::parse(request.body, nullptr, false);
    record_.line("%s <- command %s", place_.name.c_str(), request.body.c_str());
    if (!body.is_object() || !body.contains("Warrant") || !body.contains("Tenure"))
      return {400, "{}"};
    const auto token = body["Warrant"].get<std::uint64_t>();
    if (token < token_ || body["Tenure"].get<std::uint64_t>() != session_)
      return {409, report().dump()};
    see_token(token);
    execute(body.value("Orders", json::array()));
    return {200, report().dump()};
  }

  void execute(const json& orders) {
    for (const auto& order : orders) {
      const auto verb = order.at("Verb").get<std::string>();
      const auto name = order.at("Lot").get<std::string>();
      const auto attempt = order.at("Try").get<std::uint64_t>();
      const auto it = tasks_.find(name);
      if (verb == "launch") {
        launch(name, attempt);
      } else if (it == tasks_.end() || it->second.attempt != attempt) {
        continue;
      } else if (verb == "clear") {
        if (it->second.state == "ended") tasks_.erase(it);
      } else if (verb == "stop" && it->second.state != "ended") {
        stop(name, it->second, order.value("LeaveS", 0.0));
      }
      has_changed_ = true;
    }
  }

  void launch(const std::string& name, std::uint64_t attempt) {
    const auto it = tasks_.find(name);
    if (it != tasks_.end() && it->second.attempt == attempt) return;
    if (it != tasks_.end() && it->second.state != "ended") return;  // busy
    Task task;
    task.attempt = attempt;
    const auto job = setting_.description(name.substr(0, name.rfind('/')));
    if (job.is_null()) {
      task.state = "ended";
      task.cause = "no_such";
    } else if (used("Cpus") + job["Cpus"].get<double>() > place_.cpus + 1e-6 ||
               used("RamGb") + job["RamGb"].get<double>() > place_.memory_gb + 1e-6) {
      task.state = "ended";
      task.cause = "full";
    } else {
      const auto image = job["Kit"].get<std::string>();
      const auto fetched = images_.emplace(
          image, now_ms() + static_cast<std::int64_t>(job["ImageGb"].get<double>() * 1000));
      task.next = std::max(now_ms(), fetched.first->second);
    }
    tasks_[name] = task;
  }

  double used(const char* what) {
    double sum = 0;
    for (const auto& [name, task] : tasks_)
      if (task.state != "ended")
        sum += setting_.description(name.substr(0, name.rfind('/')))[what].get<double>();
    return sum;
  }

  void stop(const std::string& name, Task& task, double leave_s) {
    const auto job = setting_.description(name.substr(0, name.rfind('/')));
    const double save_s = job["StowS"].get<double>();
    if (task.state == "running" && job["MarkS"].get<double>() > 0 && leave_s >= save_s) {
      task.state = "saving";
      task.next = now_ms() + static_cast<std::int64_t>(save_s * 1000);
    } else if (task.state != "saving" || leave_s == 0) {
      end(name, task, "halted");
    }
  }

  void end(const std::string& name, Task& task, const char* cause) {
    task.kept = task.state == "saving";
    task.state = "ended";
    task.cause = cause;
    if (task.on) ledger_.left(place_, name, cause);
    task.on = false;
    has_changed_ = true;
  }

  void kill_tasks(const char* why) {
    for (auto& [name, task] : tasks_)
      if (task.on) ledger_.left(place_, name, why);
    tasks_.clear();
  }

  // Lets time pass for tasks and the lease.
  void tick() {
    while (true) {
      sleep_ms(5);
      const std::lock_guard lock(mutex_);
      if (gone_) return;
      const auto now = now_ms();
      if (now - std::max(answered_sent_, session_began_) >
          static_cast<std::int64_t>(setting_.lease_s * 1000)) {
        kill_tasks("lease over");
        ++session_;
        session_began_ = now;
        has_changed_ = true;
        record_.line("%s: lease over, session %llu begins", place_.name.c_str(),
                     static_cast<unsigned long long>(session_));
      }
      for (auto& [name, task] : tasks_) {
        if (task.state == "ended" || now < task.next) continue;
        if (task.state == "fetching") {
          begin(name, task, now);
        } else if (task.state == "saving") {
          end(name, task, "halted");
        } else {
          end(name, task, "done");
        }
      }
    }
  }

  void begin(const std::string& name, Task& task, std::int64_t now) {
    const auto job = setting_.description(name.substr(0, name.rfind('/')));
    task.state = "running";
    task.on = true;
    has_changed_ = true;
    ledger_.started(place_, name, job);
    const bool service = job["Form"] == "service";
    const double run_s = ledger_.is_done(name) ? 0 : setting_.run_s(name);
    task.next = service ? INT64_MAX : now + static_cast<std::int64_t>(run_s * 1000);
  }

  static constexpr std::int64_t kAnswerMs = 4000, kNextNodeMs = 1000, kChangeMs = 500;
  const Place place_;
  const Setting setting_;
  std::size_t node_;
  Ledger& ledger_;
  Record& record_;
  std::mt19937_64 random_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Task> tasks_;
  std::map<std::string, std::int64_t> images_;
  std::uint64_t session_ = 1, tally_ = 0, token_ = 0;
  std::int64_t session_began_, answered_sent_ = 0, last_sent_ = 0, next_report_ = 0,
                               not_before_ = 0, token_change_at_ = -1'000'000;
  bool has_changed_ = true, gone_ = false;
  Server server_;
};

// Rents machines, lists them, takes them back.
class Cloud {
 public:
  using json = nlohmann::json;
  // Called when a machine is up; returns its worker.
  using Boot = std::function<std::unique_ptr<Worker>(const Place& place)>;
  Cloud(std::vector<MachineType> types, double list_lag_s, int most, Boot boot, Record& record)
      : types_(std::move(types)),
        list_lag_ms_(static_cast<std::int64_t>(list_lag_s * 1000)),
        most_(most),
        boot_(std::move(boot)),
        record_(record) {}

  Reply handle(const Request& request) {
    const auto body = json::parse(request.body, nullptr, false);
    if (request.path == "/flavors") return flavors();
    if (request.path == "/machines" && request.method == "POST") return rent(body);
    if (request.path == "/machines/release") return release(body);
    if (request.path.starts_with("/machines")) return list(request.path);
    return {400, "{}"};
  }

  // A machine that is there already when the case begins.
  std::string add(const std::string& type, const std::string& zone, bool spot,
                  std::int64_t up_in_ms) {
    const std::lock_guard lock(mutex_);
    return add_locked(type, zone, spot, up_in_ms);
  }

 private:
  struct Machine {
    Place place;
    std::int64_t rented_at = 0, gone_at = 0;
    std::string address;
    std::unique_ptr<Worker> worker;
  };

  std::string add_locked(const std::string& type, const std::string& zone, bool spot,
                         std::int64_t up_in_ms) {
    char name[16];
    std::snprintf(name, sizeof name, "n-%06d", ++last_);
    Place place{name, type, zone, spot};
    for (const auto& known : types_)
      if (known.name == type) {
        place.cpus = known.cpus;
        place.memory_gb = known.memory_gb;
      }
    auto& machine = machines_[name];
    machine.place = place;
    machine.rented_at = now_ms();
    std::thread([this, place, up_in_ms] {
      sleep_ms(up_in_ms);
      const std::lock_guard lock(mutex_);
      auto& machine = machines_[place.name];
      if (machine.gone_at != 0) return;
      machine.worker = boot_(place);
      machine.address = machine.worker->address();
      record_.line("%s (%s, %s%s) is up", place.name.c_str(), place.type.c_str(),
                   place.zone.c_str(), place.spot ? ", cheap" : "");
    }).detach();
    return name;
  }

  Reply flavors() {
    json rigs = json::array();
    for (const auto& type : types_)
      rigs.push_back({{"Name", type.name},
                      {"Cpus", type.cpus},
                      {"Cards", type.cards},
                      {"RamGb", type.memory_gb},
                      {"LocalGb", 200},
                      {"PullGbPerS", 1.0},
                      {"Price", type.price},
                      {"LowPrice", type.low_price},
                      {"StartupS", type.startup_s},
                      {"Halls", type.zones}});
    return {200, json{{"Rigs", rigs}}.dump()};
  }

  Reply rent(const json& body) {
    if (!body.is_object()) return {400, "{}"};
    const std::lock_guard lock(mutex_);
    const auto name = body.at("Hire").get<std::string>();
    if (const auto it = hires_.find(name); it != hires_.end()) return {200, it->second};
    json posts = json::array();
    for (int i = 0; i < body.at("Number").get<int>() && rented_ < most_; ++i, ++rented_) {
      double startup_s = 1;
      for (const auto& type : types_)
        if (type.name == body.at("Rig")) startup_s = type.startup_s;
      posts.push_back(add_locked(body.at("Rig"), body.at("Hall"), body.at("Loaners"),
                                 static_cast<std::int64_t>(startup_s * 1000)));
    }
    record_.line("cloud: %s -> %s", body.dump().c_str(), posts.dump().c_str());
    if (posts.empty()) return {503, R"({"error":"no capacity"})"};
    return {200, hires_[name] = json{{"Posts", posts}}.dump()};
  }

  Reply release(const json& body) {
    if (!body.is_object()) return {400, "{}"};
    const std::lock_guard lock(mutex_);
    record_.line("cloud: release %s", body.dump().c_str());
    for (const auto& name : body.at("Posts")) {
      const auto it = machines_.find(name.get<std::string>());
      if (it == machines_.end() || it->second.gone_at != 0) continue;
      it->second.gone_at = now_ms();
      --rented_;
      if (it->second.worker) it->second.worker->vanish();
    }
    return {200, "{}"};
  }

  // As it was `list_lag_ms_` ago.
  Reply list(const std::string& path) {
    const std::lock_guard lock(mutex_);
    const auto then = now_ms() - list_lag_ms_;
    json posts = json::array();
    const auto at = path.find("After=");
    const auto after =
        at == std::string::npos ? std::string() : path.substr(at + 6, path.find('&', at) - at - 6);
    for (const auto& [name, machine] : machines_) {
      if (name <= after || machine.rented_at > then ||
          (machine.gone_at != 0 && machine.gone_at <= then))
        continue;
      const auto& place = machine.place;
      posts.push_back({{"Ref", name},
                       {"Addr", machine.address},
                       {"Rig", place.type},
                       {"Hall", place.zone},
                       {"Loaners", place.spot},
                       {"Status", machine.worker ? "running" : "booting"},
                       {"AgeS", static_cast<double>(then - machine.rented_at) / 1000}});
    }
    return {200, json{{"Posts", posts}, {"Truncated", false}}.dump()};
  }

  std::vector<MachineType> types_;
  std::int64_t list_lag_ms_;
  int most_, rented_ = 0, last_ = 0;
  Boot boot_;
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> hires_;
};

}  // namespace review
