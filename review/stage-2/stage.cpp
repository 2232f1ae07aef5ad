#include "stage.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace stage {
namespace {

constexpr std::int64_t kTickMs = 10;
constexpr std::int64_t kStoreMs = 5;             // "usually responds in under 10 ms"
constexpr std::int64_t kReportTimeoutMs = 4000;  // PROTOCOL, as the next two
constexpr std::int64_t kNextNodeMs = 1000;
constexpr std::int64_t kChangeMs = 500;
constexpr std::size_t kChangesKept = 10'000;
constexpr int kUserTimeoutMs = 5000;

std::string query(const std::string& path, const std::string& name) {
  auto at = path.find('?');
  while (at != std::string::npos) {
    const auto end = path.find('&', at + 1);
    const auto part = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
    at = end;
  }
  return {};
}

std::uint64_t number(const std::string& text, std::uint64_t otherwise = 0) {
  return text.empty() ? otherwise : std::strtoull(text.c_str(), nullptr, 10);
}

struct Pending {
  std::function<void(int, const std::string&)> done;
  evhttp_connection* connection;
  event_base* base;
};

void free_connection(evutil_socket_t, short, void* connection) {
  evhttp_connection_free(static_cast<evhttp_connection*>(connection));
}

void on_call_done(evhttp_request* request, void* context) {
  std::unique_ptr<Pending> pending(static_cast<Pending*>(context));
  int status = 0;
  std::string body;
  if (request != nullptr) status = evhttp_request_get_response_code(request);
  if (status != 0) {
    auto* input = evhttp_request_get_input_buffer(request);
    body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, body.data(), body.size());
  }
  event_base_once(pending->base, -1, EV_TIMEOUT, &free_connection, pending->connection, nullptr);
  pending->done(status, body);
}

void on_later(evutil_socket_t, short, void* context) {
  std::unique_ptr<std::function<void()>> what(static_cast<std::function<void()>*>(context));
  (*what)();
}

void on_request(evhttp_request* request, void* context) {
  auto& handler = *static_cast<Handler*>(context);
  Request read;
  const auto method = evhttp_request_get_command(request);
  read.method = method == EVHTTP_REQ_GET ? "GET" : method == EVHTTP_REQ_POST ? "POST" : "DELETE";
  read.path = evhttp_request_get_uri(request);
  auto* input = evhttp_request_get_input_buffer(request);
  read.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, read.body.data(), read.body.size());
  handler(read, [request](int status, const std::string& body) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    auto* output = evhttp_request_get_output_buffer(request);
    evbuffer_add(output, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
  });
}

}  // namespace

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string Answer::job_status() const {
  const auto object = parsed();
  return object.is_object() ? object.value("Status", "") : "";
}

json make_job(int number, int lots, double cpus, double run_s) {
  char ref[32];
  std::snprintf(ref, sizeof(ref), "run-%06d", number);
  return {{"Ref", ref},
          {"Docket", "dispute-match"},
          {"Desk", "dispute-office"},
          {"Form", "sweep"},
          {"Standing", "standard"},
          {"Lots", lots},
          {"Cpus", cpus},
          {"Cards", 0.0},
          {"RamGb", 3.4},
          {"Kit", "img-01"},
          {"ImageGb", 0.5},
          {"Rigs", nullptr},
          {"Hall", nullptr},
          {"Together", false},
          {"Spread", false},
          {"Loaners", true},
          {"ReckonS", run_s},
          {"MarkS", 0.0},
          {"StowS", 0.0},
          {"DueS", nullptr}};
}

Site small_site() {
  Site site;
  const auto team = [](const char* name, double cpus, double cpus_max) {
    return json{
        {"name", name}, {"cpus", cpus}, {"cpus_max", cpus_max}, {"gpus", 0.0}, {"gpus_max", 0.0}};
  };
  site.teams = {team("clearing-desk", 104, 352), team("dispute-office", 104, 440),
                team("tariff-registry", 128, 216)};
  site.types = json::array({{{"Name", "ledger-8"},
                             {"Cpus", 8.0},
                             {"Cards", 0.0},
                             {"RamGb", 32.0},
                             {"LocalGb", 70.0},
                             {"PullGbPerS", 0.8},
                             {"Price", 0.33},
                             {"LowPrice", 0.13},
                             {"StartupS", 40.0},
                             {"Halls", {site.zone}}}});
  return site;
}

// --- the state service ---

const json* Store::value(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? nullptr : &it->second.value;
}

void Store::handle(const std::string& node, const Request& request, const Respond& respond) {
  const auto wait = delay ? delay(node, request) : 0;
  const Respond answer = [this, wait, respond](int status, const std::string& body) {
    if (wait < 0) return;
    stage_.later(kStoreMs + wait, [respond, status, body] { respond(status, body); });
  };
  if (request.path.starts_with("/watch")) {
    Watch watch{query(request.path, "Under"), number(query(request.path, "After")),
                now_ms() + static_cast<std::int64_t>(std::min<std::uint64_t>(
                               60'000, number(query(request.path, "HoldMs")))),
                answer};
    if (!this->answer(watch, watch.until <= now_ms())) watches_.push_back(std::move(watch));
    return;
  }
  int status = 400;
  json body = {{"error", "malformed"}};
  if (request.path == "/txn" && request.method == "POST")
    body = transact(request.body, status);
  else if (request.path.starts_with("/holds"))
    body = lease_call(request, status);
  else if (request.path.starts_with("/store") && request.method == "GET")
    body = read(request.path, status);
  answer(status, body.dump());
  answer_watches();
}

json Store::read(const std::string& path, int& status) const {
  status = 200;
  if (path.starts_with("/store/")) {
    const auto it = items_.find(path.substr(7));
    if (it == items_.end()) {
      status = 404;
      return {{"LedgerRev", revision_}};
    }
    json item = {{"K", it->first}, {"V", it->second.value}, {"Stamp", it->second.version}};
    if (it->second.lease != 0) item["Tenancy"] = it->second.lease;
    return item;
  }
  const auto prefix = query(path, "Under"), after = query(path, "After");
  const auto most = std::min<std::uint64_t>(1000, number(query(path, "Page"), 1000));
  json entries = json::array();
  bool truncated = false;
  for (auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
       it != items_.end() && it->first.starts_with(prefix); ++it) {
    if (entries.size() >= most) {
      truncated = true;
      break;
    }
    entries.push_back({{"K", it->first}, {"V", it->second.value}, {"Stamp", it->second.version}});
  }
  return {{"Entries", entries}, {"Truncated", truncated}, {"LedgerRev", revision_}};
}

json Store::transact(const std::string& body, int& status) {
  const auto txn = json::parse(body, nullptr, false);
  status = 400;
  if (!txn.is_object()) return {{"error", "malformed"}};
  const json changes = txn.value("Then", json::array());
  if (static_cast<int>(changes.size()) > stage_.site().txn_ops) return {{"error", "too many"}};
  for (const auto& change : changes) {
    if (change.contains("V") &&
        static_cast<double>(change["V"].dump().size()) > stage_.site().value_kb * 1024)
      return {{"error", "value too large"}};
    const auto lease = change.value("Tenancy", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return {{"error", "no such lease"}};
  }
  json failed = json::array();
  for (const auto& condition : txn.value("If", json::array())) {
    const auto it = items_.find(condition.at("K").get<std::string>());
    const auto version = it == items_.end() ? 0 : it->second.version;
    if (version != condition.at("Stamp").get<std::uint64_t>()) failed.push_back(condition["K"]);
  }
  if (!failed.empty()) {
    status = 409;
    return {{"failed", failed}, {"LedgerRev", revision_}};
  }
  status = 200;
  if (!changes.empty()) ++revision_;
  for (const auto& change : changes) {
    if (change.contains("Set")) {
      const auto key = change["Set"].get<std::string>();
      items_[key] = {change.at("V"), revision_, change.value("Tenancy", std::uint64_t{0})};
      changes_.push_back({revision_, key, false, change["V"]});
    } else {
      const auto key = change.at("Drop").get<std::string>();
      if (items_.erase(key) > 0) changes_.push_back({revision_, key, true, nullptr});
    }
  }
  return {{"LedgerRev", revision_}};
}

json Store::lease_call(const Request& request, int& status) {
  status = 200;
  if (request.path == "/holds") {
    const auto body = json::parse(request.body, nullptr, false);
    const auto ttl = body.at("LifeMs").get<std::int64_t>();
    leases_[next_lease_] = {ttl, now_ms() + ttl};
    return {{"Tenancy", next_lease_++}};
  }
  const auto it = leases_.find(number(request.path.substr(7)));
  if (it == leases_.end()) {
    status = 404;
    return {{"error", "no such lease"}};
  }
  if (request.method == "DELETE")
    end_lease(it->first);
  else
    it->second.until = now_ms() + it->second.ttl;
  return json::object();
}

void Store::end_lease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_)
    if (item.lease == lease) keys.push_back(key);
  if (keys.empty()) return;
  ++revision_;
  for (const auto& key : keys) {
    items_.erase(key);
    changes_.push_back({revision_, key, true, nullptr});
  }
}

bool Store::answer(const Watch& watch, bool expired) const {
  if (changes_.size() > kChangesKept &&
      changes_[changes_.size() - kChangesKept].revision > watch.after) {
    watch.respond(410, json{{"LedgerRev", revision_}}.dump());
    return true;
  }
  json events = json::array();
  const auto from = std::upper_bound(
      changes_.begin(), changes_.end(), watch.after,
      [](std::uint64_t after, const Change& change) { return after < change.revision; });
  for (auto it = from; it != changes_.end(); ++it) {
    if (!it->key.starts_with(watch.prefix)) continue;
    if (it->dropped)
      events.push_back({{"Drop", it->key}, {"Stamp", it->revision}});
    else
      events.push_back({{"Set", it->key}, {"V", it->value}, {"Stamp", it->revision}});
  }
  if (events.empty() && !expired) return false;
  watch.respond(200, json{{"LedgerRev", revision_}, {"Events", events}}.dump());
  return true;
}

void Store::answer_watches() {
  std::erase_if(watches_,
                [this](const Watch& watch) { return answer(watch, watch.until <= now_ms()); });
}

void Store::tick() {
  std::vector<std::uint64_t> ended;
  for (const auto& [lease, state] : leases_)
    if (now_ms() > state.until) ended.push_back(lease);
  for (const auto lease : ended) end_lease(lease);
  answer_watches();
}

// --- workers ---

Worker::Worker(Stage& stage, std::string name, std::string type_name, double cpu_count,
               double memory, bool is_spot)
    : type(std::move(type_name)),
      zone(stage.site().zone),
      cpus(cpu_count),
      memory_gb(memory),
      spot(is_spot),
      rented_at(now_ms()),
      stage_(stage),
      name_(std::move(name)) {
  addr = "127.0.0.1:" +
         std::to_string(stage.listen(
             [this](const Request& request, const Respond& respond) { handle(request, respond); }));
}

bool Worker::has(const std::string& task) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
    return entry.first.substr(0, entry.first.find('#')) == task &&
           (entry.second.state == "running" || entry.second.state == "saving");
  });
}

void Worker::end(const std::string& key, Task& entry, const std::string& cause) {
  const auto task = key.substr(0, key.find('#'));
  entry.state = "ended";
  entry.cause = cause;
  changed_ = true;
  if (cause == "done") stage_.task_completed(task);
  stage_.record("%s: %s ended, %s", name_.c_str(), key.c_str(), cause.c_str());
}

double Worker::free_cpus() const {
  double left = cpus;
  for (const auto& [key, entry] : tasks_)
    if (entry.state != "ended") left -= stage_.job(key.substr(0, key.find('#'))).value("Cpus", 0.0);
  return left;
}

// The task has its image.
void Worker::begin(const std::string& task, Task& entry) {
  const double run_s = stage_.completed(task) ? 0 : stage_.run_s ? stage_.run_s(task) : 5;
  entry.state = "running";
  entry.next = now_ms() + static_cast<std::int64_t>(run_s * 1000);
  changed_ = true;
  stage_.task_started(task, *this);
}

void Worker::take_back() {
  if (gone) return;
  for (auto& [key, entry] : tasks_)
    if (entry.state != "ended") stage_.record("%s: %s is gone", name_.c_str(), key.c_str());
  tasks_.clear();
  gone = true;
  up = false;
  stage_.record("%s: the machine is gone", name_.c_str());
}

std::string Worker::report() {
  json lots = json::array();
  for (const auto& [key, entry] : tasks_) {
    json lot = {
        {"Lot", key.substr(0, key.find('#'))}, {"Try", entry.attempt}, {"Status", entry.state}};
    if (entry.state == "ended") lot["Cause"] = entry.cause;
    if (entry.saved) lot["Kept"] = true;
    lots.push_back(std::move(lot));
  }
  json body = {{"Post", name_},   {"Addr", addr},      {"Rig", type},
               {"Hall", zone},    {"Loaners", spot},   {"Tenure", incarnation_},
               {"Tally", ++seq_}, {"Warrant", token_}, {"RecallS", nullptr},
               {"Lots", lots}};
  if (notice_s >= 0) body["RecallS"] = notice_s;
  return body.dump();
}

void Worker::tick() {
  if (!up) return;
  const auto now = now_ms();
  if (!began_) {
    began_ = true;
    lease_from_ = now;
    next_report_ = now;
    node_ = static_cast<std::size_t>(stage_.random() * static_cast<double>(stage_.nodes().size()));
  }
  if (now - lease_from_ > static_cast<std::int64_t>(stage_.site().lease_s * 1000)) {
    for (auto& [key, entry] : tasks_)
      if (entry.state != "ended")
        stage_.record("%s: %s killed, the lease is over", name_.c_str(), key.c_str());
    tasks_.clear();
    ++incarnation_;
    lease_from_ = now;
    changed_ = true;
  }
  for (auto& [key, entry] : tasks_) {
    const auto task = key.substr(0, key.find('#'));
    if (entry.state == "fetching" && now >= entry.next) {
      images_.insert(stage_.job(task).value("Kit", ""));
      begin(task, entry);
    }
    if (now < entry.next) continue;
    if (entry.state == "running") {
      end(key, entry, "done");
    } else if (entry.state == "saving") {
      entry.saved = true;
      end(key, entry, "halted");
    }
  }
  if (in_flight_ != 0 && now - in_flight_since_ >= kReportTimeoutMs) {
    in_flight_ = 0;
    next_node();
  }
  if (in_flight_ != 0 || now < not_before_) return;
  if (now >= next_report_ || (changed_ && now - last_sent_ >= kChangeMs)) send();
}

void Worker::send() {
  const auto now = now_ms();
  changed_ = false;
  last_sent_ = in_flight_since_ = now;
  next_report_ =
      now + static_cast<std::int64_t>(stage_.site().report_s * 1000 * (0.75 + stage_.random() / 2));
  const auto id = in_flight_ = next_id_++;
  in_flight_incarnation_ = incarnation_;
  const auto body = report();
  if (cut) return;  // nothing arrives anywhere, and nothing is heard
  stage_.call(stage_.client_port(stage_.nodes()[node_]), "POST", "/agent/beat", body,
              kReportTimeoutMs + 500,
              [this, id, alive = std::weak_ptr<int>(alive_)](int status, const std::string& text) {
                if (alive.lock()) on_response(id, status, text);
              });
}

void Worker::next_node() {
  node_ = (node_ + 1) % stage_.nodes().size();
  not_before_ = now_ms() + kNextNodeMs;
  next_report_ = not_before_;
}

void Worker::on_response(std::uint64_t id, int status, const std::string& body) {
  if (id != in_flight_ || cut || !up) return;
  in_flight_ = 0;
  const auto object = json::parse(body, nullptr, false);
  if (status == 421) {
    const auto to = object.is_object() ? object.value("AnswerTo", "") : "";
    const auto& nodes = stage_.nodes();
    const auto it = std::find(nodes.begin(), nodes.end(), to);
    if (it == nodes.end() || *it == nodes[node_]) return next_node();
    node_ = static_cast<std::size_t>(it - nodes.begin());
    next_report_ = now_ms();
    return;
  }
  if (status != 200) return next_node();
  if (!object.is_object() || !object.contains("Warrant")) return;
  const auto token = object["Warrant"].get<std::uint64_t>();
  if (token < token_ || in_flight_incarnation_ != incarnation_) return;
  if (token > token_ &&
      static_cast<double>(now_ms() - token_reported_at_) >= stage_.site().lease_s * 500) {
    token_reported_at_ = now_ms();
    changed_ = true;
  }
  token_ = token;
  lease_from_ = std::max(lease_from_, in_flight_since_);
  ++answered;
  execute(object.value("Orders", json::array()));
}

void Worker::handle(const Request& request, const Respond& respond) {
  if (cut || !up) return;
  tick();
  if (request.path == "/status") return respond(200, report());
  const auto object = json::parse(request.body, nullptr, false);
  if (!object.is_object() || !object.contains("Warrant") || !object.contains("Tenure"))
    return respond(400, "{}");
  const auto arrive = [this, object, respond, alive = std::weak_ptr<int>(alive_)](bool heard) {
    if (!alive.lock() || cut || !up) return;
    const auto token = object["Warrant"].get<std::uint64_t>();
    const bool refused = token < token_ || object["Tenure"].get<std::uint64_t>() != incarnation_;
    stage_.record("%s: /commands %s %s", name_.c_str(), refused ? "409" : "200",
                  object.value("Orders", json::array()).dump().c_str());
    if (!refused) {
      token_ = token;
      execute(object.value("Orders", json::array()));
    }
    if (heard) respond(refused ? 409 : 200, report());
  };
  const auto held = hold_command ? hold_command(object) : 0;
  if (held <= 0) return arrive(true);
  stage_.record("%s: a command is held up for %lld ms", name_.c_str(),
                static_cast<long long>(held));
  stage_.later(held, [arrive] { arrive(false); });
}

void Worker::execute(const json& orders) {
  for (const auto& order : orders) {
    const auto task = order.at("Lot").get<std::string>();
    const auto attempt = order.at("Try").get<std::uint64_t>();
    const auto verb = order.at("Verb").get<std::string>();
    const auto key = task + "#" + std::to_string(attempt);
    changed_ = true;
    if (verb == "launch") {
      launch(task, attempt);
      continue;
    }
    const auto it = tasks_.find(key);
    if (verb == "stop") stage_.record("%s: stop %s", name_.c_str(), key.c_str());
    if (it == tasks_.end()) continue;
    if (verb == "clear" && it->second.state == "ended") tasks_.erase(it);
    if (verb != "stop" || it->second.state == "ended") continue;
    const auto job = stage_.job(task);
    const double leave = order.value("LeaveS", 0.0);
    if (it->second.state == "running" && job.value("MarkS", 0.0) > 0 &&
        leave >= job.value("StowS", 0.0)) {
      it->second.state = "saving";
      it->second.next = now_ms() + static_cast<std::int64_t>(job.value("StowS", 0.0) * 1000);
    } else if (it->second.state != "saving" || leave <= 0) {
      end(key, it->second, "halted");
    }
  }
}

void Worker::launch(const std::string& task, std::uint64_t attempt) {
  const auto key = task + "#" + std::to_string(attempt);
  stage_.record("%s: launch %s", name_.c_str(), key.c_str());
  if (tasks_.contains(key)) return;
  auto& entry = tasks_[key];
  entry.attempt = attempt;
  entry.state = "ended";
  const auto job = stage_.job(task);
  if (!job.is_object()) {
    entry.cause = "no_such";
    return;
  }
  double used_cpus = job.value("Cpus", 0.0), used_gb = job.value("RamGb", 0.0);
  for (const auto& [other_key, other] : tasks_) {
    if (other.state == "ended") continue;
    const auto other_task = other_key.substr(0, other_key.find('#'));
    if (other_task == task) {
      entry.cause = "busy";
      return;
    }
    used_cpus += stage_.job(other_task).value("Cpus", 0.0);
    used_gb += stage_.job(other_task).value("RamGb", 0.0);
  }
  if (used_cpus > cpus + 1e-9 || used_gb > memory_gb + 1e-9) {
    entry.cause = "full";
    return;
  }
  entry.state = "fetching";
  double rate = 1;
  for (const auto& rig : stage_.site().types)
    if (rig["Name"] == type) rate = rig.value("PullGbPerS", 1.0);
  const bool cached = images_.contains(job.value("Kit", ""));
  entry.next =
      now_ms() + (cached ? 0 : static_cast<std::int64_t>(job.value("ImageGb", 0.0) / rate * 1000));
  if (cached) begin(task, entry);
}

// --- the stage ---

Stage::Stage(Site site, const std::string& folder)
    : site_(std::move(site)), started_at_(now_ms()), folder_(folder), store_(*this) {
  const char* trouble = std::getenv("TROUBLE");
  trouble_ = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  record_ = std::fopen((folder_ + "/record.txt").c_str(), "w");
  if (record_ == nullptr) record_ = std::fopen("/dev/null", "w");
  signal(SIGPIPE, SIG_IGN);
  char pattern[] = "/tmp/stage-XXXXXX";
  const char* made = mkdtemp(pattern);
  if (made == nullptr) throw std::runtime_error("no temporary folder");
  work_ = made;
  seed_ = static_cast<std::uint64_t>(getpid()) * 2654435761U + 1;
  base_ = event_base_new();
  const timeval interval{0, kTickMs * 1000};
  tick_ = event_new(base_, -1, EV_PERSIST, &Stage::on_tick, this);
  event_add(tick_, &interval);
  // The run command of the deploy file.
  std::ifstream deploy("deploy/service.toml");
  for (std::string line; std::getline(deploy, line);) {
    if (!line.starts_with("run = ")) continue;
    std::stringstream words(line.substr(line.find('"') + 1, line.rfind('"') - line.find('"') - 1));
    for (std::string word; words >> word;) program_.push_back(word);
  }
  if (program_.empty() || access(program_[0].c_str(), X_OK) != 0)
    throw std::runtime_error("the program of deploy/service.toml is not built");
  for (const auto& node : site_.nodes) {
    auto& ports = ports_[node];
    ports.client = free_port();
    ports.peer = free_port();
    ports.state = listen([this, node](const Request& request, const Respond& respond) {
      store_.handle(node, request, respond);
    });
    ports.cloud = listen([this](const Request& request, const Respond& respond) {
      later(100, [this, request, respond] { cloud(request, respond); });
    });
  }
  record("trouble: %s", trouble_ ? "yes" : "no");
}

Stage::~Stage() {
  for (const auto& [node, pid] : pids_) kill(pid, SIGKILL);
  for (const auto& [node, pid] : pids_) waitpid(pid, nullptr, 0);
  for (const auto& node : site_.nodes) {
    std::ifstream log(work_ + "/" + node + ".log");
    std::fprintf(record_, "\n--- the log of %s, its first 120 lines ---\n", node.c_str());
    int lines = 0;
    for (std::string line; lines < 120 && std::getline(log, line); ++lines)
      std::fprintf(record_, "%s\n", line.c_str());
    unlink((work_ + "/" + node + ".log").c_str());
    unlink((work_ + "/" + node + ".json").c_str());
  }
  rmdir(work_.c_str());
  std::fclose(record_);
}

void Stage::record(const char* format, ...) {
  std::fprintf(record_, "%8.3f ", static_cast<double>(elapsed_ms()) / 1000);
  va_list values;
  va_start(values, format);
  std::vfprintf(record_, format, values);
  va_end(values);
  std::fputc('\n', record_);
  std::fflush(record_);
}

int Stage::finish(int outcome, const std::string& why) {
  const char* text = outcome == kHeld ? "held" : outcome == kBroken ? "BROKEN" : "could not run";
  record("result: %s: %s", text, why.c_str());
  std::printf("%s: %s: %s\n", folder_.c_str(), text, why.c_str());
  return outcome;
}

double Stage::random() {
  seed_ = seed_ * 6364136223846793005ULL + 1442695040888963407ULL;
  return static_cast<double>(seed_ >> 33) / static_cast<double>(1ULL << 31);
}

int Stage::free_port() {
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = 12'000 + static_cast<int>(random() * 18'000);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free) return port;
  }
  throw std::runtime_error("no free port");
}

int Stage::listen(Handler handler) {
  auto* http = evhttp_new(base_);
  evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
  evhttp_set_gencb(http, &on_request, new Handler(std::move(handler)));
  auto* socket = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
  if (socket == nullptr) throw std::runtime_error("cannot listen");
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void Stage::call(int port, const std::string& method, const std::string& path,
                 const std::string& body, std::int64_t timeout_ms,
                 std::function<void(int status, const std::string& body)> done) {
  auto* connection =
      evhttp_connection_base_new(base_, nullptr, "127.0.0.1", static_cast<std::uint16_t>(port));
  const timeval timeout{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  evhttp_connection_set_timeout_tv(connection, &timeout);
  auto* pending = new Pending{std::move(done), connection, base_};
  auto* request = evhttp_request_new(&on_call_done, pending);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", "127.0.0.1");
  evhttp_add_header(headers, "Connection", "close");
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  }
  evhttp_make_request(connection, request, method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                      path.c_str());
}

void Stage::later(std::int64_t ms, std::function<void()> what) {
  const timeval delay{ms / 1000, ms % 1000 * 1000};
  event_base_once(base_, -1, EV_TIMEOUT, &on_later, new std::function<void()>(std::move(what)),
                  &delay);
}

void Stage::on_tick(evutil_socket_t, short, void* self) {
  auto& stage = *static_cast<Stage*>(self);
  stage.store_.tick();
  for (std::size_t i = 0; i < stage.machines_.size(); ++i) stage.machines_[i]->tick();
}

bool Stage::wait_for(const std::function<bool()>& condition, std::int64_t ms) {
  const auto until = now_ms() + ms;
  while (!condition()) {
    if (now_ms() >= until) return false;
    event_base_loop(base_, EVLOOP_ONCE);
  }
  return true;
}

void Stage::run_for(std::int64_t ms) {
  wait_for([] { return false; }, ms);
}

// --- controllers ---

json Stage::config(const std::string& node) const {
  const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  const auto& own = ports_.at(node);
  json known = json::array();
  for (const auto& [other, ports] : ports_)
    if (other != node)
      known.push_back({{"node", other}, {"area", site_.zone}, {"endpoint", address(ports.peer)}});
  return {{"node", node},
          {"area", site_.zone},
          {"client_listen", address(own.client)},
          {"peer_listen", address(own.peer)},
          {"known", known},
          {"services", {{"cloud", address(own.cloud)}, {"state", address(own.state)}}},
          {"params",
           {{"nodes", site_.nodes.size()},
            {"zones", {site_.zone}},
            {"teams", site_.teams},
            {"objectives", json::array()},
            {"workers",
             {{"report_s", site_.report_s},
              {"lease_s", site_.lease_s},
              {"gang_wait_s", 40.0},
              {"gang_peer_s", 5.0},
              {"cancel_s", site_.cancel_s}}},
            {"state",
             {{"rps", site_.state_rps},
              {"write_rps", site_.state_write_rps},
              {"value_kb", site_.value_kb},
              {"txn_ops", site_.txn_ops}}},
            {"cloud", {{"rps", site_.cloud_rps}, {"list_lag_s", site_.list_lag_s}}},
            {"resources",
             {{"cores", site_.cores},
              {"memory_mb", site_.memory_mb},
              {"max_connections", site_.max_connections}}},
            {"time_bound_ms", 25.0}}}};
}

void Stage::start(const std::string& node) {
  const auto file = work_ + "/" + node + ".json", log = work_ + "/" + node + ".log";
  std::ofstream(file) << config(node).dump(2);
  std::vector<std::string> words = program_;
  words.push_back(file);
  const int pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::freopen(log.c_str(), "a", stderr);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    setenv("LOG_LEVEL", "info", 1);
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  pids_[node] = pid;
  record("%s starts", node.c_str());
}

void Stage::start_all() {
  for (const auto& node : site_.nodes) start(node);
}

void Stage::kill_node(const std::string& node) {
  const auto it = pids_.find(node);
  if (it == pids_.end()) return;
  kill(it->second, SIGKILL);
  waitpid(it->second, nullptr, 0);
  pids_.erase(it);
  record("%s is killed", node.c_str());
}

bool Stage::ended_by_itself() {
  for (const auto& [node, pid] : pids_) {
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) != pid) continue;
    record("%s ended by itself, %s %d", node.c_str(), WIFSIGNALED(status) ? "signal" : "status",
           WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    pids_.erase(node);
    return true;
  }
  return false;
}

std::string Stage::leader() const {
  const auto* value = store_.value("leader");
  if (value == nullptr || !value->is_object()) return {};
  for (const auto& [field, text] : value->items())
    if (text.is_string() && ports_.contains(text.get<std::string>()))
      return text.get<std::string>();
  return {};
}

// --- users ---

void Stage::ask(const std::string& node, const std::string& method, const std::string& path,
                const std::string& body, std::int64_t timeout_ms,
                std::function<void(const Answer&)> on_answer) {
  Answer answer;
  answer.sent_at = elapsed_ms();
  record("user -> %s: %s %s", node.c_str(), method.c_str(), path.c_str());
  call(client_port(node), method, path, body, timeout_ms,
       [this, answer, node, method, path, on_answer](int status, const std::string& text) mutable {
         answer.status = status;
         answer.body = text;
         answer.received_at = elapsed_ms();
         record("user <- %s: %s %s (asked at %.3f): %d %s", node.c_str(), method.c_str(),
                path.c_str(), static_cast<double>(answer.sent_at) / 1000, status, text.c_str());
         on_answer(answer);
       });
}

Answer Stage::ask_and_wait(const std::string& node, const std::string& method,
                           const std::string& path, const std::string& body) {
  Answer result;
  bool done = false;
  ask(node, method, path, body, method == "GET" ? 2000 : kUserTimeoutMs, [&](const Answer& answer) {
    result = answer;
    done = true;
  });
  wait_for([&] { return done; }, kUserTimeoutMs + 1000);
  return result;
}

Answer Stage::insist(const std::string& method, const std::string& path, const std::string& body) {
  Answer answer;
  const auto until = now_ms() + 60'000;
  for (std::size_t i = 0; now_ms() < until; ++i) {
    answer = ask_and_wait(site_.nodes[i % site_.nodes.size()], method, path, body);
    if (answer.status == 200 || answer.status == 201 || answer.status == 400 ||
        answer.status == 422)
      return answer;
    run_for(1000);
  }
  return answer;
}

bool Stage::healthy(const std::string& node) {
  int status = -1;
  call(client_port(node), "GET", "/healthz", {}, 1000,
       [&status](int answered, const std::string&) { status = answered; });
  wait_for([&status] { return status != -1; }, 2000);
  return status == 200;
}

// --- the platform ---

Worker& Stage::add_machine(const std::string& type, bool spot, bool up) {
  char name[32];
  std::snprintf(name, sizeof(name), "n-%06d", next_machine_++);
  double cpus = 0, memory = 0;
  for (const auto& rig : site_.types)
    if (rig["Name"] == type) {
      cpus = rig["Cpus"].get<double>();
      memory = rig["RamGb"].get<double>();
    }
  machines_.push_back(std::make_unique<Worker>(*this, name, type, cpus, memory, spot));
  machines_.back()->up = up;
  return *machines_.back();
}

json Stage::job(const std::string& task) const {
  const auto it = jobs_.find(task.substr(0, task.find('/')));
  return it == jobs_.end() ? json() : it->second;
}

void Stage::task_started(const std::string& task, const Worker& machine) {
  record("%s: %s starts to run", machine.name().c_str(), task.c_str());
  for (const auto& other : machines_)
    if (other.get() != &machine && other->has(task)) {
      ++ran_twice;
      record("ran_twice: %s starts on %s while it is on %s", task.c_str(), machine.name().c_str(),
             other->name().c_str());
    }
  if (on_started) on_started(task, machine);
}

void Stage::cloud(const Request& request, const Respond& respond) {
  const auto body = json::parse(request.body, nullptr, false);
  if (request.path == "/flavors") return respond(200, json{{"Rigs", site_.types}}.dump());
  if (request.path == "/machines" && request.method == "POST") {
    const auto hire = body.at("Hire").get<std::string>();
    if (const auto it = hired_.find(hire); it != hired_.end())
      return respond(200, it->second.dump());
    json names = json::array();
    for (int i = 0; i < body.at("Number").get<int>() && capacity > 0; ++i, --capacity) {
      auto& machine =
          add_machine(body.at("Rig").get<std::string>(), body.at("Loaners").get<bool>(), false);
      names.push_back(machine.name());
      later(boot_ms, [&machine] { machine.up = !machine.gone; });
    }
    record("cloud: %s asks for %d, gets %zu", hire.c_str(), body.at("Number").get<int>(),
           names.size());
    if (names.empty()) return respond(503, R"({"error":"no capacity"})");
    hired_[hire] = {{"Posts", names}};
    return respond(200, hired_[hire].dump());
  }
  if (request.path == "/machines/release") {
    for (const auto& name : body.at("Posts"))
      for (const auto& machine : machines_)
        if (machine->name() == name.get<std::string>()) machine->take_back();
    record("cloud: released %s", body.at("Posts").dump().c_str());
    return respond(200, "{}");
  }
  if (request.path.starts_with("/machines") && request.method == "GET") {
    const auto after = query(request.path, "After");
    const auto lag = static_cast<std::int64_t>(site_.list_lag_s * 1000);
    json posts = json::array();
    for (const auto& machine : machines_) {
      if (machine->name() <= after || machine->gone || machine->rented_at > now_ms() - lag)
        continue;
      posts.push_back({{"Ref", machine->name()},
                       {"Addr", machine->addr},
                       {"Rig", machine->type},
                       {"Hall", machine->zone},
                       {"Loaners", machine->spot},
                       {"Status", machine->up ? "running" : "booting"},
                       {"AgeS", static_cast<double>(now_ms() - lag - machine->rented_at) / 1000}});
    }
    return respond(200, json{{"Posts", posts}, {"Truncated", false}}.dump());
  }
  respond(400, R"({"error":"malformed"})");
}

}  // namespace stage
