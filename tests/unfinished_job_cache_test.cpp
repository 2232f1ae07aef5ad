// Polls that share a read, against the store's simulator.
#include "api/unfinished_job_cache.hpp"

#include <gtest/gtest.h>

#include "api/job_api.hpp"
#include "settings/constants.hpp"
#include "simulators/store.hpp"

namespace hitchfront::core {
namespace {

// A controller that has heard all others, and that nobody leads.
struct CertainHost : JobApiHost {
  void request_task_counts(Ms, const std::string&, OnTaskCounts) override {}
  bool may_report_unknown(Ms) const override { return true; }
  bool may_accept(Ms) const override { return true; }
  bool may_acknowledge_cancellation(Ms, const std::string&) const override { return true; }
  bool supports_dependencies() const override { return true; }
  void on_record_read(const std::string&, std::uint64_t) override {}
  void publish(const recovery::StateReplica&) override {}
  void report_data_loss_evidence(Ms) override {}
};

struct Desk {
  Outbox out;
  StoreClient client{out, 1000, 1000, 1};
  UnfinishedJobCache view{client};
  simulators::Store store;
  Ms now = 1000;
  std::size_t requests = 0;
  std::vector<HttpCall> held;

  void collect() {
    for (auto& c : out.take().calls) held.push_back(std::move(c));
  }
  // Carries out what was sent, at the store's state of now.
  void deliver() {
    collect();
    for (auto& c : std::exchange(held, {})) {
      ++requests;
      store.handle(
          now, c.method == Method::get ? "GET" : "POST", c.path, c.body,
          [&](const simulators::Response& r) { out.complete(now, c.id, r.status, r.body); });
    }
  }
  void put(const std::string& id, bool cancelled = false) {
    wire::UnfinishedJob record;
    record.job.id = id;
    record.job.job_class = "a";
    record.job.team = "red";
    record.job.image = "i";
    record.job.tasks = 1;
    record.job.cpus = 1;
    record.cancelled = cancelled;
    change(wire::Txn().put(unfinished_key(id), wire::encode(record)));
  }
  void drop(const std::string& id) { change(wire::Txn().drop(unfinished_key(id))); }
  void change(const wire::Txn& txn) {
    store.handle(now, "POST", "/txn", txn.body(),
                 [](const simulators::Response& r) { ASSERT_EQ(r.status, 200); });
  }
  // "?": not answered, "-": the store can't be asked, "": no such job.
  std::shared_ptr<std::string> query(const std::string& id) {
    auto said = std::make_shared<std::string>("?");
    view.query(now, id, [said](Ms, bool known, const UnfinishedJobCache::Job* job) {
      *said = !known ? "-" : job == nullptr ? "" : job->cancelled ? "withdrawn" : "live";
    });
    return said;
  }
  void pass(Ms ms) {
    now += ms;
    view.tick(now);
  }
};

// Found on the bench: 806 jobs polled every 5 s by one or two reads each left the leader no store
// calls.
TEST(UnfinishedJobCache, EightTimesThePollsCostNoMoreReads) {
  std::size_t requests[2] = {};
  for (int storm = 0; storm < 2; ++storm) {
    Desk d;
    for (int i = 0; i < 50; ++i) d.put("run-" + std::to_string(100000 + i));
    std::size_t answered = 0;
    for (int tick = 0; tick < 100; ++tick) {
      std::vector<std::shared_ptr<std::string>> said;
      for (int poll = 0; poll < (storm == 1 ? 80 : 10); ++poll)
        said.push_back(d.query("run-" + std::to_string(100000 + poll % 50)));
      d.pass(static_cast<Ms>(settings::kUnfinishedJobReadIntervalMs));
      d.deliver();
      d.deliver();
      for (const auto& s : said) answered += *s == "live" ? 1 : 0;
    }
    EXPECT_GE(answered, storm == 1 ? 7900U : 980U);
    requests[storm] = d.requests;
  }
  EXPECT_LE(requests[1], 102U);
  EXPECT_EQ(requests[0], requests[1]);
}

// Polls for ids that nobody submitted cost one read of the final records each, behind all other
// work, and are refused once many wait.
TEST(UnfinishedJobCache, AThousandPollsForUnknownIdsAreBounded) {
  settings::Platform platform;
  Outbox out;
  StoreClient client(out, 100, 100, 1);
  recovery::StateReplica replica(10);
  CertainHost host;
  JobApi api(out, client, platform, host, replica);
  simulators::Store store;
  Ms now = 1000;
  std::size_t unknown = 0, refused = 0, requests = 0;
  for (int i = 0; i < 1000; ++i)
    api.status(now, static_cast<std::uint64_t>(i), "run-" + std::to_string(500000 + i));
  for (; now < 21'000; now += 100) {
    auto e = out.take();
    for (const auto& r : e.replies) (r.status == 404 ? unknown : refused) += 1;
    for (auto& c : e.calls) {
      ++requests;
      store.handle(now, "GET", c.path, "", [&](const simulators::Response& r) {
        out.complete(now, c.id, r.status, r.body);
      });
    }
    client.send_queued(now);
    api.tick(now);
  }
  EXPECT_EQ(unknown + refused, 1000U);
  EXPECT_EQ(unknown, 1000U);
  EXPECT_EQ(requests,
            1002U);  // two reads of the unfinished jobs: the first poll's, and all the others'
  // Those of a fleet of 6,000 machines wait, and only what comes beyond the bound is refused.
  const auto query = [&](int from, int to) {
    for (int i = from; i < to; ++i)
      api.status(now, static_cast<std::uint64_t>(2000 + i), "run-" + std::to_string(600000 + i));
  };
  constexpr int kMost = static_cast<int>(settings::kMaxPendingPolls);
  ASSERT_GE(kMost, 6000);
  query(0, kMost);
  EXPECT_EQ(out.take().replies.size(), 0U);
  query(kMost, kMost + 100);
  std::size_t at_once = 0;
  for (const auto& r : out.take().replies)
    at_once += r.status == 429 && r.retry_after_s > 0 ? 1 : 0;
  EXPECT_EQ(at_once, 100U);
  api.status(now, 1001, "run-99999x!");
  const auto e = out.take();
  ASSERT_EQ(e.replies.size(), 1U);
  EXPECT_EQ(e.replies[0].status, 404);
}

// The read that is under way may be older than the poll: it must not answer it.
TEST(UnfinishedJobCache, APollIsNotAnsweredByAReadSentBeforeIt) {
  Desk d;
  d.put("run-100000");
  auto first = d.query("run-100000");
  d.deliver();
  ASSERT_EQ(*first, "live");
  d.pass(1000);
  first = d.query("run-100000");
  d.collect();  // sent
  std::string early_body;
  d.store.handle(d.now, "GET", d.held[0].path, "",
                 [&](const simulators::Response& r) { early_body = r.body; });
  const auto early = d.held[0].id;
  d.held.clear();
  d.put("run-100000", true);  // cancelled, by way of another node, whose user knows it now
  auto second = d.query("run-100000");
  d.out.complete(d.now, early, 200, early_body);
  EXPECT_EQ(*first, "live");
  EXPECT_EQ(*second, "?");
  d.pass(1000);
  d.deliver();
  EXPECT_EQ(*second, "withdrawn");
}

TEST(UnfinishedJobCache, FollowsChangesOutagesAndAWatchThatFellBehind) {
  Desk d;
  auto said = d.query("run-100001");
  d.deliver();
  EXPECT_EQ(*said, "");
  d.put("run-100001");
  d.pass(1000);
  said = d.query("run-100001");
  d.deliver();
  EXPECT_EQ(*said, "live");
  d.store.set_outage(d.now, true);
  d.pass(1000);
  said = d.query("run-100001");
  d.deliver();
  EXPECT_EQ(*said, "-");
  d.store.set_outage(d.now, false);
  d.drop("run-100001");
  for (int i = 0; i < 10'100; ++i) d.put("run-200000");  // beyond what the store remembers
  d.pass(1000);
  said = d.query("run-100001");
  auto other = d.query("run-200000");
  for (int i = 0; i < 4; ++i) {
    d.deliver();
    d.pass(1000);
  }
  EXPECT_EQ(*said, "");
  EXPECT_EQ(*other, "live");
}

}  // namespace
}  // namespace hitchfront::core
