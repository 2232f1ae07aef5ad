// The program itself, over loopback: one controller as a process, against the simulators.
#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/thread.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "election/fencing_token.hpp"
#include "net/open_files.hpp"
#include "simulators/host.hpp"
#include "simulators/process.hpp"

extern char** environ;

namespace hitchfront {
namespace {
using nlohmann::json;

// The terms of the first two leaders of a store.
const std::uint64_t kFirstTerm = election::next_term(0);
const std::uint64_t kSecondTerm = election::next_term(kFirstTerm);

int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(a);
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&a), size), 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  close(fd);
  return ntohs(a.sin_port);
}

struct HttpAnswer {
  int status = 0;
  std::string headers, body;
  json parsed() const { return json::parse(body, nullptr, false); }
};

HttpAnswer http(int port, const std::string& method, const std::string& path,
                const std::string& body = "") {
  HttpAnswer r;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)) == 0) {
    const std::string text = method + " " + path +
                             " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
    for (std::size_t at = 0; at < text.size();) {
      const auto n = send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (n <= 0) break;
      at += static_cast<std::size_t>(n);
    }
    std::string in;
    char buffer[4096];
    for (ssize_t n = 0; (n = recv(fd, buffer, sizeof(buffer), 0)) > 0;)
      in.append(buffer, static_cast<std::size_t>(n));
    if (in.size() > 12) r.status = std::atoi(in.c_str() + 9);
    const auto end = in.find("\r\n\r\n");
    if (end != std::string::npos) {
      r.headers = in.substr(0, end);
      r.body = in.substr(end + 4);
    }
  }
  close(fd);
  return r;
}

class Service : public ::testing::Test {
 protected:
  void SetUp() override {
    state_ = free_port();
    cloud_ = free_port();
    client_ = free_port();
    peer_ = free_port();
    evthread_use_pthreads();
    base_ = event_base_new();
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    host_ = std::make_unique<simulators::Host>(
        base_, at(state_), at(cloud_), std::map<std::string, std::string>{{"a-0", at(client_)}},
        std::vector<wire::MachineType>{{"small", 4, 0, 16, 50, 5, 0.2, 0.06, 0.2, {"east"}}},
        [](const std::string&, std::uint32_t) { return 0.5; });
    thread_ = std::thread([this] { event_base_dispatch(base_); });
    const json settings = {
        {"node", "a-0"},
        {"area", "east"},
        {"client_listen", at(client_)},
        {"peer_listen", at(peer_)},
        {"known", json::array()},
        {"services", {{"cloud", at(cloud_)}, {"state", at(state_)}}},
        {"params",
         {{"nodes", 1},
          {"zones", {"east"}},
          {"teams", {{{"name", "red"}, {"cpus", 4}, {"cpus_max", 8}}}},
          {"workers", {{"report_s", 1}, {"lease_s", 10}, {"cancel_s", 30}}},
          {"state", {{"rps", 500}, {"write_rps", 200}, {"value_kb", 8}, {"txn_ops", 12}}},
          {"cloud", {{"rps", 10}, {"list_lag_s", 1}}},
          {"resources", {{"cores", 0.5}, {"memory_mb", 72}, {"max_connections", max_connections_}}},
          {"time_bound_ms", 10}}}};
    file_ = ::testing::TempDir() + "hitchfront-" + std::to_string(client_) + ".json";
    std::ofstream(file_) << settings.dump();
    start();
  }
  void start() {
    log_ = file_ + ".log";
    ASSERT_TRUE(
        process_.start(HITCHFRONT_PROGRAM, {"--log-format", "json", "--config", file_}, log_));
    ASSERT_TRUE(until([&] { return http(client_, "GET", "/healthz").status == 200; }));
  }
  void kill_it() { process_.kill(); }
  void TearDown() override {
    kill_it();
    event_base_loopbreak(base_);
    thread_.join();
    host_.reset();
    event_base_free(base_);
  }
  // Waits for what must come; how long it takes is not what is tested.
  template <class F>
  static bool until(F f) {
    for (int i = 0; i < 600; ++i) {
      if (f()) return true;
      usleep(100'000);
    }
    return false;
  }
  static json job(const std::string& id, int tasks) {
    return {{"Ref", id},
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
            {"ReckonS", 1.0},
            {"MarkS", 0.0},
            {"StowS", 0.0}};
  }
  std::string state_of(const std::string& id) {
    const auto o = http(client_, "GET", "/work/" + id).parsed();
    return o.is_object() ? o.value("Status", "") : "";
  }
  int max_connections_ = 200;
  int state_ = 0, cloud_ = 0, client_ = 0, peer_ = 0;
  simulators::Process process_;
  event_base* base_ = nullptr;
  std::unique_ptr<simulators::Host> host_;
  std::thread thread_;
  std::string file_, log_;
};

TEST_F(Service, AnswersUsersRunsJobsAndSurvivesAKill) {
  // Accepted, repeated, polled.
  EXPECT_EQ(http(client_, "POST", "/work", job("run-000001", 5).dump()).status, 201);
  EXPECT_EQ(http(client_, "POST", "/work", job("run-000001", 5).dump()).status, 200);
  EXPECT_EQ(http(client_, "GET", "/work/run-000001").status, 200);
  // Refused, with the field named.
  auto bad = job("run-000002", 5);
  bad["Cpus"] = -1;
  auto r = http(client_, "POST", "/work", bad.dump());
  EXPECT_EQ(r.status, 400);
  EXPECT_EQ(r.parsed().value("field", ""), "Cpus");
  bad = job("run-000002", 5);
  bad["Desk"] = "nobody";
  EXPECT_EQ(http(client_, "POST", "/work", bad.dump()).status, 422);
  bad["Desk"] = "red";
  bad["RamGb"] = 1000.0;
  EXPECT_EQ(http(client_, "POST", "/work", bad.dump()).status, 422);
  EXPECT_EQ(http(client_, "POST", "/work", "{").status, 400);
  EXPECT_EQ(http(client_, "POST", "/work", std::string(100'000, ' ')).status, 400);
  EXPECT_EQ(http(client_, "GET", "/work/run-000002").status, 404);
  EXPECT_EQ(http(client_, "GET", "/work/..%2f").status, 404);
  EXPECT_EQ(http(client_, "GET", "/nothing").status, 404);
  EXPECT_EQ(http(client_, "GET", "/work").status, 405);
  EXPECT_EQ(http(client_, "PUT", "/work/run-000001").status, 405);
  EXPECT_EQ(http(client_, "POST", "/agent/beat", "{}").status, 400);
  // Run to the end.
  EXPECT_TRUE(until([&] { return state_of("run-000001") == "done"; }));
  // A repeat of a job that is over is known, whatever its body says now.
  bad = job("run-000001", 5);
  bad["Form"] = "odd";
  r = http(client_, "POST", "/work", bad.dump());
  EXPECT_EQ(r.status, 200);
  EXPECT_EQ(r.parsed().value("Status", ""), "done");
  EXPECT_EQ(http(client_, "POST", "/work/run-000001/abort").parsed().value("Status", ""), "done");
  // Cancelled.
  auto service = job("run-000003", 2);
  service["Form"] = "service";
  EXPECT_EQ(http(client_, "POST", "/work", service.dump()).status, 201);
  EXPECT_TRUE(until([&] { return state_of("run-000003") == "running"; }));
  EXPECT_EQ(http(client_, "POST", "/work/run-000003/abort").parsed().value("Status", ""),
            "withdrawn");
  EXPECT_EQ(state_of("run-000003"), "withdrawn");
  // Accepted, then the only controller dies: the job runs all the same.
  EXPECT_EQ(http(client_, "POST", "/work", job("run-000004", 20).dump()).status, 201);
  kill_it();
  start();
  EXPECT_EQ(state_of("run-000001"), "done");
  EXPECT_TRUE(until([&] { return state_of("run-000004") == "done"; }));
}

// The text format as a scraper reads it: comments apart, each line is a series and a number, each
// series of a type that was declared. Empty where a line is neither.
std::map<std::string, double> parse_exposition(const std::string& text) {
  std::map<std::string, double> out;
  std::map<std::string, std::string> types;
  std::istringstream in(text);
  for (std::string l; std::getline(in, l);) {
    if (l.starts_with("# TYPE ")) {
      const auto space = l.find(' ', 7);
      types[l.substr(7, space - 7)] = l.substr(space + 1);
      continue;
    }
    if (l.empty() || l[0] == '#') continue;
    const auto space = l.rfind(' ');
    char* end = nullptr;
    const double v = std::strtod(l.c_str() + space + 1, &end);
    auto name = l.substr(0, l.find_first_of("{ "));
    for (const char* part : {"_bucket", "_sum", "_count"})
      if (name.ends_with(part) &&
          types.contains(name.substr(0, name.size() - std::string(part).size())))
        name.resize(name.size() - std::string(part).size());
    if (space == std::string::npos || *end != '\0' || !types.contains(name)) return {};
    out[l.substr(0, space)] = v;
  }
  return out;
}

int run_program(const std::vector<std::string>& args, const std::string& out) {
  std::vector<char*> argv;
  std::vector<std::string> all = {HITCHFRONT_PROGRAM};
  all.insert(all.end(), args.begin(), args.end());
  for (auto& a : all) argv.push_back(a.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (const int fd : {1, 2})
    posix_spawn_file_actions_addopen(&actions, fd, out.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
  pid_t pid = 0;
  EXPECT_EQ(posix_spawn(&pid, HITCHFRONT_PROGRAM, &actions, nullptr, argv.data(), environ), 0);
  posix_spawn_file_actions_destroy(&actions);
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}
std::string contents(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// Operators' side: figures by scrape, the log as JSON, its story by the program itself.
TEST_F(Service, ShowsMetricsAndALogThatExplainsItself) {
  EXPECT_EQ(http(client_, "POST", "/work", job("run-000001", 5).dump()).status, 201);
  EXPECT_EQ(http(client_, "POST", "/work", "{").status, 400);
  EXPECT_TRUE(until([&] { return state_of("run-000001") == "done"; }));
  std::map<std::string, double> seen;
  EXPECT_TRUE(until([&] {
    const auto r = http(peer_, "GET", "/metrics");
    EXPECT_EQ(r.status, 200);
    EXPECT_NE(r.headers.find("text/plain; version=0.0.4"), std::string::npos);
    seen = parse_exposition(r.body);
    EXPECT_GT(seen.size(), 50U) << r.body;
    return seen["hitchfront_completions_total"] == 5;
  }));
  EXPECT_EQ(seen["hitchfront_leading"], 1);
  EXPECT_EQ(seen["hitchfront_term"], kFirstTerm);
  EXPECT_EQ(seen["hitchfront_launches_total"], 5);
  EXPECT_EQ(seen["hitchfront_refusals_total{reason=\"malformed\"}"], 1);
  // Whoever ends between two reports was never seen running: how many are is the machine's clock's
  // matter.
  EXPECT_GE(seen["hitchfront_start_seconds_count{standing=\"standard\"}"], 1);
  EXPECT_LE(seen["hitchfront_start_seconds_count{standing=\"standard\"}"], 5);
  EXPECT_GT(seen["hitchfront_store_calls_total{result=\"ok\"}"], 10);
  // Not on the users' side, nothing else on the peers', and no way to hold a connection without
  // asking.
  EXPECT_EQ(http(client_, "GET", "/metrics").status, 404);
  EXPECT_EQ(http(peer_, "GET", "/work/run-000001").status, 404);
  EXPECT_EQ(http(peer_, "GET", "/" + std::string(20'000, 'x')).status, 0);
  kill_it();
  start();
  EXPECT_TRUE(until([&] {
    const auto elected =
        "\"leader.elected\",\"fields\":{\"term\":" + std::to_string(kSecondTerm) + "}";
    return contents(log_).find(elected) != std::string::npos;
  }));
  std::istringstream lines(contents(log_));
  std::size_t n = 0;
  for (std::string l; std::getline(lines, l); ++n) EXPECT_TRUE(json::accept(l)) << l;
  EXPECT_GT(n, 5U);
  const auto explained = file_ + ".told";
  EXPECT_EQ(run_program({"log", "explain", log_}, explained), 0);
  const auto text = contents(explained);
  EXPECT_NE(text.find("a-0 leads in term " + std::to_string(kFirstTerm)), std::string::npos)
      << text;
  EXPECT_NE(text.find("a-0 leads in term " + std::to_string(kSecondTerm)), std::string::npos)
      << text;
  EXPECT_EQ(text.find("not understood"), std::string::npos) << text;
}

class ServiceWithMoreConnectionsThanFiles : public Service {
 protected:
  ServiceWithMoreConnectionsThanFiles() { max_connections_ = 10'000'000; }
};
TEST_F(ServiceWithMoreConnectionsThanFiles, SaysWhatItMayHaveOpenAndWhatTheSettingsTake) {
  rlimit files{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &files), 0);
  const auto expected =
      "\"node.files_short\",\"fields\":{\"allowed\":" + std::to_string(files.rlim_max) +
      ",\"wanted\":";
  const bool is_short = files.rlim_max < net::required_open_files(max_connections_);
  EXPECT_EQ(contents(log_).find(expected) != std::string::npos, is_short) << contents(log_);
}

TEST(Program, RefusesBadOptionsByNameWithStatus2) {
  const auto out = ::testing::TempDir() + "hitchfront-options-" + std::to_string(getpid());
  EXPECT_EQ(run_program({"--log-format", "xml", "--config", "/nowhere.json"}, out), 2);
  EXPECT_NE(contents(out).find("--log-format"), std::string::npos) << contents(out);
  EXPECT_EQ(run_program({"log", "explain", "/nowhere.log"}, out), 2);
  EXPECT_NE(contents(out).find("/nowhere.log: can't be read"), std::string::npos);
  EXPECT_EQ(run_program({"log", "explain"}, out), 2);
  EXPECT_EQ(run_program({"log", "explain", "/dev/null"}, out), 2);
  EXPECT_EQ(run_program({"--help"}, out), 0);
  unlink(out.c_str());
}

}  // namespace
}  // namespace hitchfront
