// The order and the bounds in which calls go to the state service, against a store that answers at
// once.
#include "kv/store_client.hpp"

#include <gtest/gtest.h>

#include "cluster_simulation.hpp"
#include "settings/constants.hpp"
#include "simulators/store.hpp"

namespace hitchfront::testing {
namespace {

using core::Ms;
using Rank = core::StoreClient::Rank;

struct Calling {
  explicit Calling(double rps = 600, double write_rps = 90, int nodes = 5)
      : client(out, rps, write_rps, nodes) {}
  core::Outbox out;
  core::StoreClient client;
  simulators::Store store;
  Ms now = 1000;
  std::vector<std::string> done;  // keys, in the order of their answers
  int next = 0;

  void put(Rank rank, const std::string& what, int times = 1) {
    for (int i = 0; i < times; ++i) {
      wire::Txn txn;
      txn.put(what + "/" + std::to_string(next++), "1");
      client.commit(now, rank, txn, [this, what](Ms, int status, std::string_view) {
        done.push_back(what + (status == 200 ? "" : "?"));
      });
    }
  }
  void pass(Ms ms) {
    for (const Ms end = now + ms; now < end; now += 50) {
      client.send_queued(now);
      for (auto calls = out.take().calls; !calls.empty(); calls = out.take().calls)
        for (auto& c : calls)
          store.handle(
              now, c.method == core::Method::get ? "GET" : "POST", c.path, c.body,
              [&](const simulators::Response& r) { out.complete(now, c.id, r.status, r.body); });
    }
  }
  std::size_t count(const std::string& what) const {
    return static_cast<std::size_t>(std::count(done.begin(), done.end(), what));
  }
};

// Guards against a flood of submissions at the leader's own door that kept its marks and final
// states waiting for minutes: the fleet ran empty beside a full queue.
TEST(StoreClient, UsersAtTheLeadersNodeHaveTheirPartWhileItsOwnWritesWaitAndTheRestAfter) {
  Calling c;
  c.client.set_leading(true);
  c.pass(2000);
  c.put(Rank::leader, "final", 240);
  c.put(Rank::best_effort, "guest", 60);
  c.put(Rank::user, "user", 200);
  c.put(Rank::launch, "mark", 40);
  c.pass(4000);
  EXPECT_EQ(c.count("mark"), 40U) << "launches wait for them";
  const double part = 90 * settings::kRateLimitShare * (1 - settings::kLeaderRateShare) / 4;
  EXPECT_NEAR(static_cast<double>(c.count("user")), part * 3, 2)
      << "in the three seconds after the marks";
  EXPECT_GT(c.count("final"), 70U);
  EXPECT_EQ(c.count("guest"), 0U);
  c.pass(12'000);
  EXPECT_EQ(c.count("final"), 240U);
  EXPECT_EQ(c.count("user"), 200U) << "what the leader leaves is theirs";
  EXPECT_EQ(c.count("guest"), 60U);
}

// Guards against a queue of 200, twenty seconds' worth at a follower's ten writes a second, for
// users who wait five.
TEST(StoreClient, UsersAreRefusedOnceASecondOfTheBudgetWaits) {
  for (const bool leads : {false, true}) {
    Calling c;
    c.client.set_leading(leads);
    c.pass(2000);
    int taken = 0;
    while (!c.client.is_queue_full(Rank::user) && taken < 1000) {
      c.put(Rank::user, "user");
      ++taken;
    }
    EXPECT_LT(taken, leads ? 70 : 30);
    EXPECT_GE(taken, 8);
    c.pass(2500);
    EXPECT_EQ(c.count("user"), static_cast<std::size_t>(taken));
    EXPECT_FALSE(c.client.is_queue_full(Rank::user));
  }
}

// Guards against a controller that refused its users for good: it knew of a loss, and the store
// lost everything once more.
TEST(StoreClient, ALossIsNoticedAgainWhileOneIsBeingMended) {
  Calling c;
  std::size_t losses = 0;
  c.client.on_loss = [&](Ms, const char*) { ++losses; };
  c.client.enable_data_loss_detection();
  c.put(Rank::lease, "a", 5);
  c.pass(1000);
  const auto kept = c.store.keep();
  c.put(Rank::lease, "a", 20);
  c.pass(1000);
  c.store.put_back(c.now, *kept);
  c.put(Rank::lease, "b", 2);
  c.pass(1000);
  EXPECT_EQ(losses, 1U);
  EXPECT_TRUE(c.client.lost());
  c.put(Rank::lease, "b", 20);
  c.pass(1000);
  c.store.lose_all(c.now);
  c.put(Rank::lease, "c", 1);
  c.pass(1000);
  EXPECT_EQ(losses, 2U);
  c.client.recovered();
  c.put(Rank::user, "d", 3);
  c.pass(1000);
  EXPECT_EQ(losses, 2U);
  EXPECT_EQ(c.count("d"), 3U);
}

// Three writes for a job of one task: one to accept, two to end. Four and more of each for
// thousands of a best-effort team's jobs stopped a fleet.
TEST(StoreWrites, AJobOfOneTaskTakesThreeAndATasksEndHardlyAny) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Scenario s;
    s.seed = seed;
    s.run_ms = 60'000;
    s.jobs_per_s = 1;
    s.services = 0;
    s.loss = 0;
    s.tasks_most = 1;
    ClusterSimulation w(s);
    w.run();
    std::size_t cancels = 0;
    for (const auto& [id, job] : w.checker.jobs) cancels += job.acknowledged_cancelled ? 1 : 0;
    EXPECT_TRUE(w.checker.broken.empty());
    EXPECT_GT(w.accepted, 30U);
    EXPECT_LE(w.written("live/") + w.written("over/") + w.written("prog/"),
              3 * w.accepted + cancels)
        << "seed " << seed;
  }
  Scenario s;
  s.run_ms = 60'000;
  s.tasks_most = 400;
  s.scale = 5;
  s.services = 0;
  ClusterSimulation w(s);
  w.run();
  std::size_t ended = 0;
  for (const auto& [id, job] : w.checker.jobs) ended += job.done.size();
  EXPECT_GT(ended, 1000U);
  EXPECT_LT(w.written("prog/"), ended / 3);
}

}  // namespace
}  // namespace hitchfront::testing
