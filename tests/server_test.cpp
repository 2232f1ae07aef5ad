// The server and the clients of workers on real sockets, with more clients than connections. One
// thread: the test runs the event loop itself, so that what is open at each moment is known.
#include "net/server.hpp"

#include <arpa/inet.h>
#include <event2/event.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/client.hpp"
#include "net/open_files.hpp"
#include "net/worker_clients.hpp"
#include "settings/constants.hpp"

namespace hitchfront::net {
namespace {

constexpr const char* kHeartbeatPath = "/agent/beat";

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  auto address = loopback(0);
  socklen_t size = sizeof(address);
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), size), 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

std::string at(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

struct FreeBase {
  void operator()(event_base* base) const { event_base_free(base); }
};
using Base = std::unique_ptr<event_base, FreeBase>;

void run_for(event_base* base, int ms) {
  const timeval end{ms / 1000, ms % 1000 * 1000};
  event_base_loopexit(base, &end);
  event_base_dispatch(base);
}

template <class Condition>
bool run_until(event_base* base, Condition condition) {
  for (int turn = 0; turn < 200'000; ++turn) {
    if (condition()) return true;
    event_base_loop(base, EVLOOP_NONBLOCK);
    usleep(100);
  }
  return false;
}

// One client with a connection that it keeps for as long as the server does.
class Peer {
 public:
  explicit Peer(int port) : port_(port) {}
  Peer(Peer&& other) noexcept : port_(other.port_), fd_(std::exchange(other.fd_, -1)) {}
  ~Peer() { disconnect(); }

  bool connected() const { return fd_ >= 0; }
  void connect() {
    if (connected()) return;
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port_);
    ASSERT_EQ(::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  void disconnect() {
    if (connected()) close(std::exchange(fd_, -1));
  }
  void send(const std::string& method, const std::string& path) {
    connect();
    received_.clear();
    const auto text = method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    ASSERT_EQ(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
  }
  // The status once the whole response is there. A connection that the response closes is given up.
  std::optional<int> receive() {
    char buffer[4096];
    for (ssize_t n = 0; (n = recv(fd_, buffer, sizeof(buffer), 0)) > 0;)
      received_.append(buffer, static_cast<std::size_t>(n));
    const auto head = received_.find("\r\n\r\n");
    if (head == std::string::npos || received_.size() < head + 4 + 2) return std::nullopt;
    if (received_.find("Connection: close") < head) disconnect();
    return std::atoi(received_.c_str() + 9);
  }
  const std::string& received() const { return received_; }

 private:
  int port_;
  int fd_ = -1;
  std::string received_;
};

class ServerTest : public ::testing::Test {
 protected:
  static constexpr int kConnections = 40;  // of the whole process
  void SetUp() override {
    port_ = free_port();
    server_.emplace(
        base_.get(), at(port_), kConnections,
        [this](std::uint64_t id, core::Method, const char*, std::string) {
          if (hold_)
            held_.push_back(id);
          else
            server_->reply({id, 200, "{}", 0});
        },
        kHeartbeatPath);
  }
  std::optional<int> ask(Peer& peer, const std::string& method, const std::string& path) {
    peer.send(method, path);
    std::optional<int> status;
    run_until(base_.get(), [&] { return (status = peer.receive()).has_value(); });
    return status;
  }
  std::vector<Peer> peers(int n) const {
    std::vector<Peer> out;
    for (int i = 0; i < n; ++i) out.emplace_back(port_);
    return out;
  }
  static std::size_t connected(const std::vector<Peer>& peers) {
    return static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(), [](const Peer& p) { return p.connected(); }));
  }

  Base base_{event_base_new()};
  std::optional<Server> server_;
  int port_ = 0;
  bool hold_ = false;
  std::vector<std::uint64_t> held_;
};

// A fleet larger than the connections: every heartbeat past 0.7 of them was refused, and 31,354 of
// 135,493 tasks were lost with their machines' leases.
TEST_F(ServerTest, AnswersThreeTimesAsManyWorkersAsConnectionsAndKeepsNoMoreThanItsShareOpen) {
  auto workers = peers(3 * kConnections);
  const auto most = connection_bounds(kConnections).preferred;
  for (int round = 0; round < 4; ++round)
    for (auto& worker : workers) {
      ASSERT_EQ(ask(worker, "POST", kHeartbeatPath), 200) << worker.received();
      ASSERT_LE(connected(workers), most);
    }
  EXPECT_EQ(connected(workers), most);
  EXPECT_TRUE(run_until(base_.get(), [&] { return server_->open_connections() <= most; }));
}

TEST_F(ServerTest, AnswersUsersBesideAFleetThatTakesEveryConnectionAndKeepsWorkersLongest) {
  const auto bounds = connection_bounds(kConnections);
  ASSERT_LT(bounds.ordinary, bounds.preferred);
  auto users = peers(3 * kConnections);
  for (auto& user : users) {
    ASSERT_EQ(ask(user, "GET", "/work/run-000001"), 200) << user.received();
    ASSERT_LE(connected(users), bounds.ordinary);
  }
  EXPECT_EQ(connected(users), bounds.ordinary);
  // What is left above the users' bound is the workers'.
  auto workers = peers(kConnections);
  for (int round = 0; round < 12; ++round) {
    for (auto& worker : workers) ASSERT_EQ(ask(worker, "POST", kHeartbeatPath), 200);
    for (auto& user : users) ASSERT_EQ(ask(user, "GET", "/work/run-000001"), 200);
    EXPECT_LE(connected(users) + connected(workers), bounds.preferred);
  }
  // Users' connections went with their responses, workers' took their place.
  EXPECT_EQ(connected(users), 0U);
  EXPECT_EQ(connected(workers), bounds.preferred);
}

TEST_F(ServerTest, RefusesOnlyWhereMoreRequestsAreInProgressThanItsShare) {
  const auto most = connection_bounds(kConnections).requests;
  hold_ = true;
  auto waiting = peers(static_cast<int>(most));
  for (auto& peer : waiting) peer.send("POST", kHeartbeatPath);
  ASSERT_TRUE(run_until(base_.get(), [&] { return held_.size() == most; }));
  Peer late(port_);
  EXPECT_EQ(ask(late, "POST", kHeartbeatPath), 503);
  EXPECT_NE(late.received().find("Retry-After"), std::string::npos);
  EXPECT_FALSE(late.connected());
  hold_ = false;
  for (const auto id : held_) server_->reply({id, 200, "{}", 0});
  for (auto& peer : waiting) {
    std::optional<int> status;
    run_until(base_.get(), [&] { return (status = peer.receive()).has_value(); });
    EXPECT_EQ(status, 200);
  }
  EXPECT_EQ(ask(late, "POST", kHeartbeatPath), 200);
}

TEST_F(ServerTest, SaysThatConnectionsAreShortUntilTheyAreBelowTheUsersBound) {
  const auto bounds = connection_bounds(kConnections);
  hold_ = true;
  auto workers = peers(static_cast<int>(bounds.preferred));
  for (auto& worker : workers) worker.send("POST", kHeartbeatPath);
  ASSERT_TRUE(run_until(base_.get(), [&] { return held_.size() == bounds.preferred; }));
  EXPECT_FALSE(server_->near_connection_limit());
  Peer one_more(port_);
  EXPECT_EQ(ask(one_more, "POST", kHeartbeatPath), 503);
  EXPECT_TRUE(server_->near_connection_limit());
  for (const auto id : held_) server_->reply({id, 200, "{}", 0});
  while (server_->open_connections() > bounds.ordinary) {
    EXPECT_TRUE(server_->near_connection_limit());
    const auto before = server_->open_connections();
    workers.pop_back();
    ASSERT_TRUE(run_until(base_.get(), [&] { return server_->open_connections() < before; }));
  }
  workers.pop_back();
  EXPECT_TRUE(run_until(base_.get(), [&] { return !server_->near_connection_limit(); }));
}

// The listener reported a connection that can't be accepted again and again, thousands of times a
// second.
TEST_F(ServerTest, WaitsWhileOutOfOpenFilesAndServesWhenThereAreSomeAgain) {
  Peer peer(port_);
  peer.send("GET", "/healthz");
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  const int next = dup(0);  // the lowest descriptor that is free
  close(next);
  const rlimit none_left{static_cast<rlim_t>(next), before.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none_left), 0);
  const std::unique_ptr<event, decltype(&event_free)> ticks(
      event_new(
          base_.get(), -1, EV_PERSIST,
          [](evutil_socket_t, short, void* server) { static_cast<Server*>(server)->tick(); },
          &*server_),
      &event_free);
  const timeval every{0, settings::kTickIntervalMs * 1000};
  event_add(ticks.get(), &every);
  server_->tick();
  const timeval end{0, 350'000};
  event_base_loopexit(base_.get(), &end);
  int turns = 0;
  while (event_base_got_exit(base_.get()) == 0 && turns < 1000) {
    event_base_loop(base_.get(), EVLOOP_ONCE);
    ++turns;
  }
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_LT(turns, 50);
  std::optional<int> status;
  run_until(base_.get(), [&] { return (status = peer.receive()).has_value(); });
  EXPECT_EQ(status, 200);
}

// ---- calls to workers ---------------------------------------------------------------------------

class WorkerClientsTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kMost = 5;
  // A worker at an address of its own, which answers when it is let.
  struct Worker {
    std::unique_ptr<Server> server;
    std::string addr;
    std::vector<std::uint64_t> asked;
  };
  void SetUp() override {
    for (int i = 0; i < 20; ++i) {
      auto worker = std::make_unique<Worker>();
      worker->addr = at(free_port());
      worker->server = std::make_unique<Server>(
          base_.get(), worker->addr, 50,
          [w = worker.get(), this](std::uint64_t id, core::Method, const char*, std::string) {
            if (hold_)
              w->asked.push_back(id);
            else
              w->server->reply({id, 200, "{}", 0});
          });
      workers_.push_back(std::move(worker));
    }
    clients_.emplace(base_.get(), kMost, [this](std::uint64_t id, int status, std::string) {
      answered_.emplace_back(id, status);
      if (call_on_response_) std::exchange(call_on_response_, nullptr)();
    });
  }
  void call(std::uint64_t id, const std::string& addr, core::Ms timeout_ms = 5000) {
    core::HttpCall c;
    c.id = id;
    c.target = core::Target::worker;
    c.addr = addr;
    c.method = core::Method::post;
    c.path = "/commands";
    c.body = "{}";
    c.timeout_ms = timeout_ms;
    clients_->call(std::move(c));
  }
  std::size_t asked() const {
    std::size_t n = 0;
    for (const auto& w : workers_) n += w->asked.size();
    return n;
  }
  using Answered = std::vector<std::pair<std::uint64_t, int>>;

  Base base_{event_base_new()};
  std::vector<std::unique_ptr<Worker>> workers_;
  std::optional<WorkerClients> clients_;
  Answered answered_;
  std::function<void()> call_on_response_;
  bool hold_ = false;
};

TEST_F(WorkerClientsTest, OpensNoMoreConnectionsThanItsBoundAndSendsTheRestInTurn) {
  hold_ = true;
  for (std::uint64_t id = 1; id <= workers_.size(); ++id) call(id, workers_[id - 1]->addr);
  EXPECT_EQ(clients_->running(), kMost);
  EXPECT_EQ(clients_->waiting(), workers_.size() - kMost);
  ASSERT_TRUE(run_until(base_.get(), [&] { return asked() == kMost; }));
  run_for(base_.get(), 50);
  EXPECT_EQ(asked(), kMost);
  hold_ = false;
  for (const auto& w : workers_)
    for (const auto id : std::exchange(w->asked, {})) w->server->reply({id, 200, "{}", 0});
  ASSERT_TRUE(run_until(base_.get(), [&] {
    EXPECT_LE(clients_->running(), kMost);
    return answered_.size() == workers_.size();
  }));
  std::set<std::uint64_t> ids;
  for (const auto& [id, status] : answered_) {
    EXPECT_EQ(status, 200);
    ids.insert(id);
  }
  EXPECT_EQ(ids.size(), workers_.size());
  EXPECT_EQ(clients_->running() + clients_->waiting(), 0U);
}

TEST_F(WorkerClientsTest, ACallThatCannotBeSentInItsTimeIsAnsweredWithoutAStatus) {
  hold_ = true;
  for (std::uint64_t id = 1; id <= kMost; ++id) call(id, workers_[id]->addr, 300);
  call(100, workers_[0]->addr, 50);
  call(101, workers_[0]->addr, 5000);
  ASSERT_TRUE(run_until(base_.get(), [&] { return answered_.size() == kMost + 1; }));
  for (const auto& [id, status] : answered_) EXPECT_EQ(status, 0) << id;
  EXPECT_EQ(std::count(answered_.begin(), answered_.end(), std::pair<std::uint64_t, int>(100, 0)),
            1);
  ASSERT_TRUE(run_until(base_.get(), [&] { return workers_[0]->asked.size() == 1; }));
  workers_[0]->server->reply({workers_[0]->asked[0], 200, "{}", 0});
  ASSERT_TRUE(run_until(base_.get(), [&] { return answered_.size() == kMost + 2; }));
  EXPECT_EQ(answered_.back(), (std::pair<std::uint64_t, int>(101, 200)));
}

// A response that leads to a call to another worker dropped the client that it came from.
TEST_F(WorkerClientsTest, AResponseMayLeadToFurtherCalls) {
  call_on_response_ = [this] {
    call(2, workers_[1]->addr);
    call(3, workers_[0]->addr);
  };
  call(1, workers_[0]->addr);
  ASSERT_TRUE(run_until(base_.get(), [&] { return answered_.size() == 3; }));
  for (const auto& [id, status] : answered_) EXPECT_EQ(status, 200) << id;
}

// ---- open files ---------------------------------------------------------------------------------

TEST(OpenFiles, RaisesTheSoftLimitToTheHardOneAndNoFurther) {
  EXPECT_EQ(raised_open_file_limits({1024, 1'048'576}), (OpenFileLimits{1'048'576, 1'048'576}));
  EXPECT_EQ(raised_open_file_limits({4096, 4096}), std::nullopt);
  EXPECT_GT(required_open_files(3293), 3293U);

  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  const rlimit low{std::min<rlim_t>(before.rlim_max, 512), before.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &low), 0);
  EXPECT_EQ(raise_open_file_limit(), before.rlim_max);
  rlimit after{};
  getrlimit(RLIMIT_NOFILE, &after);
  EXPECT_EQ(after.rlim_cur, before.rlim_max);
  EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
}

}  // namespace
}  // namespace hitchfront::net
