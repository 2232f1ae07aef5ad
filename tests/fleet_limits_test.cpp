// Limits of the controller itself that a fleet of 6,000 machines must not meet, with far fewer
// connections than machines.
#include <gtest/gtest.h>

#include <set>

#include "cluster_simulation.hpp"
#include "settings/constants.hpp"
#include "simulators/cloud.hpp"
#include "simulators/store.hpp"

namespace hitchfront::testing {
namespace {

using core::Ms;

constexpr int kMachines = 6000;
constexpr int kConnections = 1000;

std::string heartbeat(int machine, std::uint64_t seq, std::uint64_t fencing_token) {
  const auto n = std::to_string(machine);
  return R"({"Post":"n-)" + n + R"(","Addr":"10.1.0.1:9000","Rig":"small","Hall":"east",)" +
         R"("Loaners":false,"Tenure":1,"Tally":)" + std::to_string(seq) + R"(,"Warrant":)" +
         std::to_string(fencing_token) + R"(,"RecallS":null,"Lots":[]})";
}

// One controller and the outside systems, which answer at once.
class OneController {
 public:
  OneController() : core(platform(), 1), cloud({small()}, 1, 1000) { core.start(now, now); }

  static settings::Platform platform() {
    auto p = test_platform(1, {"east"});
    p.max_connections = kConnections;
    return p;
  }
  static wire::MachineType small() { return {"small", 4, 0, 16, 50, 5, 0.2, 0.06, 0.2, {"east"}}; }

  void pass(Ms ms) {
    for (const Ms end = now + ms; now < end; now += settings::kTickIntervalMs) {
      store.tick(now);
      cloud.tick(now);
      core.tick(now, now);
      deliver();
    }
  }
  void request(std::uint64_t id, const std::string& body) {
    core.request(now, now, id, core::Method::post, core::kHeartbeatPath, body);
  }
  // Responses since the last look.
  std::vector<core::HttpReply> take_replies() {
    deliver();
    return std::exchange(replies_, {});
  }

  bool store_answers = true;
  Ms now = 100'000;
  core::Controller core;
  simulators::Store store;
  simulators::Cloud cloud;
  std::set<std::string> list_requests;  // paths of the cloud's list that were asked for

 private:
  static const char* name(core::Method m) {
    return m == core::Method::get ? "GET" : m == core::Method::post ? "POST" : "DELETE";
  }
  void deliver() {
    while (true) {
      auto effects = core.take();
      if (effects.empty()) return;
      for (auto& r : effects.replies) replies_.push_back(std::move(r));
      for (auto& c : effects.calls) carry_out(c);
    }
  }
  void carry_out(const core::HttpCall& c) {
    if (c.target == core::Target::state) {
      if (!store_answers) return;
      store.handle(now, name(c.method), c.path, c.body, [&](const simulators::Response& r) {
        core.response(now, c.id, r.status, r.body);
      });
    } else if (c.target == core::Target::cloud) {
      if (c.method == core::Method::get && c.path.starts_with("/machines"))
        list_requests.insert(c.path);
      const auto r = cloud.handle(now, name(c.method), c.path, c.body);
      core.response(now, c.id, r.status, r.body);
    } else {
      core.response(now, c.id, 0, {});
    }
  }
  std::vector<core::HttpReply> replies_;
};

TEST(FleetLimits, HeartbeatsOfSixThousandMachinesWaitForALeader) {
  OneController c;
  c.store_answers = false;
  c.pass(200);
  for (int i = 0; i < kMachines; ++i)
    c.request(static_cast<std::uint64_t>(i + 1), heartbeat(i, 1, 0));
  EXPECT_EQ(c.take_replies().size(), 0U);
  c.pass(settings::kRelayTimeoutMs + 500);
  EXPECT_EQ(c.take_replies().size(), static_cast<std::size_t>(kMachines));
}

TEST(FleetLimits, SixThousandMachinesThatWereReturnedAreNotTakenForNewOnes) {
  OneController c;
  c.pass(10'000);
  ASSERT_TRUE(c.core.leading());
  for (int i = 0; i < kMachines; ++i)
    c.request(static_cast<std::uint64_t>(i + 1), heartbeat(i, 1, 0));
  // They say nothing more: their leases end, and they are returned.
  c.pass(120'000);
  c.take_replies();
  std::size_t returned = 0;
  for (int i = 0; i < kMachines; ++i)
    c.request(static_cast<std::uint64_t>(10'000 + i), heartbeat(i, 2, 0));
  for (const auto& r : c.take_replies())
    returned += r.status == 503 && r.body.find("machine returned") != std::string::npos ? 1 : 0;
  EXPECT_EQ(returned, static_cast<std::size_t>(kMachines));
}

// A new leader learns by the cloud's list of the machines that an earlier one rented. Its pages are
// more than the calls that the cloud's rate allows at once.
TEST(FleetLimits, TheCloudsListOfSixThousandMachinesIsReadToItsEnd) {
  constexpr std::size_t kPages = kMachines / settings::kMaxMachinesPerListPage;
  OneController c;
  c.cloud.capacity["small/east/ordinary"] = kMachines;
  for (int i = 0; i < kMachines; ++i)
    ASSERT_NE(c.cloud.scale_out(c.now, "small", "east", false), "");
  ASSERT_LT(OneController::platform().cloud_rps, kPages);
  c.pass(30'000);  // none of them is returned yet
  ASSERT_TRUE(c.core.leading());
  EXPECT_EQ(c.list_requests.size(), kPages);
}

// A heartbeat that is held back keeps a connection open meanwhile.
TEST(FleetLimits, NoHeartbeatIsHeldWhileConnectionsAreShort) {
  OneController c;
  c.pass(10'000);
  ASSERT_TRUE(c.core.leading());
  c.request(1, heartbeat(1, 1, 0));
  c.pass(5000);
  ASSERT_EQ(c.take_replies().size(), 1U);
  c.request(2, heartbeat(1, 2, 1));
  EXPECT_EQ(c.take_replies().size(), 0U);
  c.pass(5000);
  ASSERT_EQ(c.take_replies().size(), 1U);
  c.core.set_near_connection_limit(true);
  EXPECT_TRUE(c.core.near_connection_limit());
  c.request(3, heartbeat(1, 3, 1));
  EXPECT_EQ(c.take_replies().size(), 1U);
  c.core.set_near_connection_limit(false);
  c.request(4, heartbeat(1, 4, 1));
  EXPECT_EQ(c.take_replies().size(), 0U);
}

}  // namespace
}  // namespace hitchfront::testing
