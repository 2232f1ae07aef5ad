// Responses that arrive when the process that sent the request has ended and the next process of
// the same controller runs: they must not be taken for responses to its own requests.
#include <gtest/gtest.h>

#include "election/fencing_token.hpp"
#include "net/random_seed.hpp"
#include "simulation_test.hpp"
#include "simulators/store.hpp"
#include "wire/batch.hpp"
#include "wire/job_keys.hpp"
#include "wire/relay_value.hpp"

namespace hitchfront::testing {
namespace {
using core::Ms;
using Kind = wire::PeerMessage::Kind;

constexpr Ms kTickMs = 100;
constexpr std::int64_t kWallClockMs = 1'700'000'000'000;

// The store, and the clock of the machine that the controller's processes run on.
struct Surroundings {
  simulators::Store store;
  Ms now = 1'000'000;

  void put(const std::string& key, std::string_view value) {
    store.handle(now, "POST", "/txn", wire::Txn().put(key, value).body(),
                 [](const simulators::Response& r) { ASSERT_EQ(r.status, 200); });
  }
};

// One process of node-1 beside a store. The test plays the other controllers, workers and users.
class Process {
 public:
  Process(Surroundings& surroundings, std::uint64_t seed)
      : surroundings_(surroundings), core_(platform(), seed) {
    core_.start(surroundings_.now, kWallClockMs);
    carry_out();
  }

  void run(Ms duration) {
    for (const auto end = surroundings_.now + duration; surroundings_.now < end;) {
      surroundings_.now += kTickMs;
      surroundings_.store.tick(surroundings_.now);
      core_.tick(surroundings_.now, kWallClockMs);
      carry_out();
    }
  }
  // Returns the number of the request, by which `replies` has its reply.
  std::uint64_t request(core::Method method, const std::string& path, const std::string& body) {
    const auto id = ++requests_;
    core_.request(surroundings_.now, kWallClockMs, id, method, path, body);
    carry_out();
    return id;
  }
  std::uint64_t heartbeat(const std::string& machine) {
    return request(core::Method::post, "/agent/beat",
                   R"({"Addr":"127.0.0.1:1","Hall":"east","Loaners":false,"Lots":[],"Post":")" +
                       machine + R"(","Rig":"small","Tally":1,"Tenure":1,"Warrant":1})");
  }
  void receive(const std::string& node, const wire::PeerMessage& message) {
    core_.peer_message(surroundings_.now, node, wire::encode(message));
    carry_out();
  }
  // The newest message of a kind to another controller.
  wire::PeerMessage last_sent(Kind kind) const {
    const auto it =
        std::find_if(sent.rbegin(), sent.rend(), [&](const auto& m) { return m.kind == kind; });
    return it == sent.rend() ? wire::PeerMessage{} : *it;
  }
  bool has_logged(telemetry::Event event) const { return logged.contains(event); }
  bool leads() const { return core_.leading(); }

  std::map<std::uint64_t, core::HttpReply> replies;  // by request
  std::vector<wire::PeerMessage> sent;
  std::set<telemetry::Event> logged;

 private:
  static settings::Platform platform() {
    auto platform = test_platform(3, {"east"});
    platform.node = "node-1";
    platform.peers = {{"node-0", "east", "node-0"}, {"node-2", "east", "node-2"}};
    return platform;
  }
  void carry_out() {
    while (true) {
      auto effects = core_.take();
      if (effects.empty()) return;
      for (const auto& line : effects.logs) logged.insert(line.event);
      for (auto& reply : effects.replies) replies[reply.request] = std::move(reply);
      for (const auto& message : effects.peer_messages)
        if (auto decoded = wire::decode_peer(message.bytes)) sent.push_back(std::move(*decoded));
      for (const auto& call : effects.calls) carry_out(call);
    }
  }
  void carry_out(const core::HttpCall& call) {
    if (call.target != core::Target::state) return;
    const auto* method = call.method == core::Method::get    ? "GET"
                         : call.method == core::Method::post ? "POST"
                                                             : "DELETE";
    surroundings_.store.handle(
        surroundings_.now, method, call.path, call.body,
        [this, id = call.id, alive = std::weak_ptr(alive_)](const simulators::Response& r) {
          if (alive.lock()) core_.response(surroundings_.now, id, r.status, r.body);
        });
  }

  Surroundings& surroundings_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  core::Controller core_;
  std::uint64_t requests_ = 0;
};

constexpr const char* kLaunch =
    R"({"Warrant":1,"Orders":[{"Verb":"launch","Lot":"run-000001/0","Try":4294967297}]})";

// A process of node-1 that knows node-0 as the leader.
std::unique_ptr<Process> follower(Surroundings& surroundings, std::uint64_t seed) {
  if (surroundings.store.value(wire::kLeaderKey) == nullptr) {
    surroundings.put(wire::kTermKey, "1");
    surroundings.put(wire::kLeaderKey, wire::encode(wire::LeaderRecord{"node-0", 1}));
  }
  auto process = std::make_unique<Process>(surroundings, seed);
  process->run(500);
  return process;
}

wire::PeerMessage relay_response(std::uint64_t id) {
  wire::PeerMessage response;
  response.kind = Kind::relay_response;
  response.id = id;
  response.a = 200;
  response.text = kLaunch;
  return response;
}

// A machine was given the launches of another one, whose heartbeat the former process had relayed:
// a task started in the wrong place, and again on the machine that it was meant for.
TEST(FormerProcess, ItsHeartbeatResponsesReachNoOtherMachine) {
  Surroundings surroundings;
  auto former = follower(surroundings, 1);
  former->heartbeat("n-000001");
  const auto former_id = former->last_sent(Kind::relay_request).id;
  former.reset();

  auto process = follower(surroundings, 2);
  const auto request = process->heartbeat("n-000002");
  const auto id = process->last_sent(Kind::relay_request).id;
  process->receive("node-0", relay_response(former_id));
  EXPECT_FALSE(process->replies.contains(request));
  process->receive("node-0", relay_response(id));
  ASSERT_TRUE(process->replies.contains(request));
  EXPECT_EQ(process->replies[request].body, kLaunch);
}

// The heartbeats of a relay value, with the sequence number of the batch.
struct RelayedBatch {
  std::uint64_t sequence = 0;
  std::uint64_t first_id = 0;
};
RelayedBatch relayed_batch(const Surroundings& surroundings) {
  const auto* stored = surroundings.store.value(wire::relay_request_key("node-1"));
  const auto value = stored == nullptr ? std::nullopt : wire::decode_relay_value(*stored);
  const auto heartbeats = value ? wire::decode_heartbeats(value->items) : std::nullopt;
  if (!heartbeats || heartbeats->empty()) return {};
  return {value->sequence, heartbeats->front().first};
}

void respond_through_store(Surroundings& surroundings, std::uint64_t sequence, std::uint64_t id) {
  std::vector<wire::RelayedResponse> responses = {
      {id, 200, {}, *wire::parse_heartbeat_response(kLaunch)}};
  surroundings.put(
      wire::relay_response_key("node-1"),
      wire::encode(wire::RelayValue{sequence, wire::encode_responses(responses, 6000)}));
}

// The same by way of the store: a leader writes a late response with the number of the newest batch
// of the controller, which may be that of its next process. Its machine may have been restarted as
// well, so that the steady clock of the next process is behind.
TEST(FormerProcess, ItsHeartbeatResponsesThroughTheStoreReachNoOtherMachine) {
  for (const Ms clock_reset : {0, 900'000}) {
    Surroundings surroundings;
    auto former = follower(surroundings, 1);
    former->run(2'000);  // the leader counts as unreachable
    former->heartbeat("n-000001");
    former->run(kTickMs);
    const auto earlier = relayed_batch(surroundings);
    former.reset();

    surroundings.now -= clock_reset;
    auto process = follower(surroundings, 2);
    process->run(2'000);
    const auto request = process->heartbeat("n-000002");
    process->run(kTickMs);
    const auto batch = relayed_batch(surroundings);
    ASSERT_NE(earlier.first_id, 0U);
    ASSERT_NE(batch.sequence, earlier.sequence);
    for (const auto sequence : {earlier.sequence, batch.sequence}) {
      respond_through_store(surroundings, sequence, earlier.first_id);
      process->run(kTickMs);
      EXPECT_FALSE(process->replies.contains(request)) << "clock back by " << clock_reset;
    }
    respond_through_store(surroundings, batch.sequence, batch.first_id);
    process->run(kTickMs);
    ASSERT_TRUE(process->replies.contains(request));
    EXPECT_EQ(process->replies[request].status, 200);
  }
}

// ---- task counts

void accept(Surroundings& surroundings, const std::string& id) {
  wire::UnfinishedJob record;
  record.job.id = id;
  record.job.job_class = "alpha";
  record.job.team = "red";
  record.job.image = "img";
  record.job.tasks = 5;
  record.job.cpus = 1;
  record.launch_watermark = 5;
  surroundings.put(wire::unfinished_job_key(id), wire::encode(record));
}

wire::PeerMessage counts_response(std::uint64_t id, std::uint32_t done) {
  wire::PeerMessage response;
  response.kind = Kind::job_counts_response;
  response.id = id;
  response.text = wire::encode_counts({{true, done, 0}});
  return response;
}

// The user of a job was told how many tasks of another one were done, by which the former process
// had been polled.
TEST(FormerProcess, TaskCountsRequestedByItAnswerNoPollOfAnotherJob) {
  Surroundings surroundings;
  for (const char* id : {"run-000001", "run-000002"}) accept(surroundings, id);
  auto former = follower(surroundings, 1);
  former->run(2'000);
  former->request(core::Method::get, "/work/run-000001", "");
  former->run(kTickMs);
  const auto former_id = former->last_sent(Kind::job_counts_request).id;
  ASSERT_NE(former_id, 0U);
  former.reset();

  auto process = follower(surroundings, 2);
  process->run(2'000);
  const auto poll = process->request(core::Method::get, "/work/run-000002", "");
  process->run(kTickMs);
  const auto id = process->last_sent(Kind::job_counts_request).id;
  process->receive("node-0", counts_response(former_id, 4));
  EXPECT_FALSE(process->replies.contains(poll));
  process->receive("node-0", counts_response(id, 1));
  ASSERT_TRUE(process->replies.contains(poll));
  EXPECT_EQ(nlohmann::json::parse(process->replies[poll].body).value("done", 0), 1);
}

// ---- abstentions

constexpr Ms kLongestElectionMs = 10'000;
constexpr Ms kRoundsMs = 2'500;  // into an outage, with some rounds of abstention requests

void lead(Process& process) {
  process.run(kLongestElectionMs);
  ASSERT_TRUE(process.leads());
}

// Runs into an outage of the store; returns the rounds in which the process asked for abstentions.
std::set<std::uint64_t> ask_for_abstentions(Surroundings& surroundings, Process& process) {
  surroundings.store.set_outage(surroundings.now, true);
  process.run(kRoundsMs);
  std::set<std::uint64_t> rounds;
  for (const auto& message : process.sent)
    if (message.kind == Kind::abstention_request) rounds.insert(message.id);
  EXPECT_FALSE(rounds.empty());
  return rounds;
}

void abstain(Process& leader, const std::set<std::uint64_t>& rounds) {
  for (const auto round : rounds)
    for (const char* node : {"node-0", "node-2"}) {
      wire::PeerMessage abstention;
      abstention.kind = Kind::abstention;
      abstention.id = round;
      leader.receive(node, abstention);
    }
}

// A leader counted abstentions that the others had given to its former process from its own rounds
// of the same numbers: it would have acted beside a leader that they elected meanwhile.
TEST(FormerProcess, AbstentionsGivenToItDoNotCount) {
  Surroundings surroundings;
  auto former = std::make_unique<Process>(surroundings, 1);
  lead(*former);
  const auto former_rounds = ask_for_abstentions(surroundings, *former);
  former.reset();
  surroundings.store.set_outage(surroundings.now, false);

  Process process(surroundings, 2);
  lead(process);
  const auto rounds = ask_for_abstentions(surroundings, process);
  abstain(process, former_rounds);
  EXPECT_FALSE(process.has_logged(telemetry::Event::outage_abstentions));
  abstain(process, rounds);
  EXPECT_TRUE(process.has_logged(telemetry::Event::outage_abstentions));
}

// ---- the numbers of two processes

// The seed, and with it the identifier of a process, had 32 random bits.
TEST(FormerProcess, SeedsDifferInBothHalves) {
  constexpr int kDraws = 64;
  std::set<std::uint32_t> upper, lower;
  for (int i = 0; i < kDraws; ++i) {
    const auto seed = net::random_seed();
    upper.insert(static_cast<std::uint32_t>(seed >> 32));
    lower.insert(static_cast<std::uint32_t>(seed));
  }
  EXPECT_GT(upper.size(), kDraws / 2U);
  EXPECT_GT(lower.size(), kDraws / 2U);
}

// Numbers of versions that number from 1 in each process are never among those of this one.
TEST(FormerProcess, NumbersAreAboveThoseOfEarlierVersions) {
  for (const std::uint64_t process : {std::uint64_t{0}, std::uint64_t{1}, ~std::uint64_t{0}}) {
    membership::RequestIds ids(process);
    const auto first = ids.next();
    EXPECT_GE(first, 1ULL << 62);
    EXPECT_EQ(ids.next(), first + 1);
    EXPECT_LT(first, 1ULL << 63);
  }
}

// ---- the same in the cluster simulation

constexpr std::int64_t kFirstCrashMs = 40'000;
constexpr std::int64_t kProcessLivesMs[] = {4'000, 5'000};
constexpr int kProcesses = 14;
constexpr std::int64_t kQuickRestartMs = 100;
constexpr std::int64_t kSlowResponseMs = 1'500;
constexpr std::uint64_t kSeeds = 8;

// The controller of a zone ends again and again and is back at once. The responses to every other
// process arrive at the next one, as long after its start; that one has to wait for its own.
Scenario late_heartbeat_responses(std::uint64_t seed, std::int64_t process_life_ms) {
  Scenario s;
  s.seed = seed;
  s.scale = 2;
  s.jobs_per_s = 1;
  s.tasks_most = 6;
  s.restart_ms = kQuickRestartMs;
  for (int i = 0; i < kProcesses; ++i) {
    const auto start = kFirstCrashMs + i * process_life_ms;
    const auto delay_ms = i % 2 == 0 ? process_life_ms : kSlowResponseMs;
    s.events.push_back({start, "crash node-1"});
    s.late_peer_messages.push_back(
        {Kind::relay_response, start, start + process_life_ms, delay_ms});
  }
  return s;
}

TEST(FormerProcess, LateHeartbeatResponsesBreakNoRule) {
  for (const auto process_life_ms : kProcessLivesMs)
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ClusterSimulation simulation(late_heartbeat_responses(seed, process_life_ms));
      simulation.run();
      expect_sound(simulation);
    }
}

// A mutant: the processes of a controller draw the same numbers.
TEST(FormerProcessChecker, CatchesAHeartbeatResponseToAnotherMachine) {
  std::set<std::string> broken;
  const auto caught = [&broken] {
    return broken.contains("ran_twice") || broken.contains("wrong_place");
  };
  for (const auto process_life_ms : kProcessLivesMs)
    for (std::uint64_t seed = 1; seed <= kSeeds && !caught(); ++seed) {
      auto scenario = late_heartbeat_responses(seed, process_life_ms);
      scenario.repeats_process_seeds = true;
      ClusterSimulation simulation(scenario);
      simulation.run();
      broken.insert(simulation.checker.broken.begin(), simulation.checker.broken.end());
    }
  EXPECT_TRUE(caught());
}

constexpr std::int64_t kOutageMs = 40'000, kMendedMs = 46'500, kRefusedMs = 60'000;

// A store outage of a few seconds, in which the leader ends and is back; then the store refuses the
// leader alone, so that nobody abstains and another controller takes over. The abstentions of
// the outage arrive now.
Scenario late_abstentions(std::uint64_t seed) {
  Scenario s;
  s.seed = seed;
  s.loss = 0;
  s.restart_ms = kQuickRestartMs;
  s.events = {{kOutageMs, "outage"},
              {kMendedMs - 200, "crash leader"},
              {kMendedMs, "mend"},
              {kRefusedMs, "refuse leader 12000"}};
  s.late_peer_messages = {{Kind::abstention, kOutageMs, kMendedMs, kRefusedMs - kOutageMs + 900}};
  return s;
}

// When each term began, and when its leader last answered a worker.
struct Terms {
  struct Leader {
    std::string node;
    std::int64_t elected_at = 0, last_answer_at = 0;
  };
  std::map<std::uint64_t, Leader> leaders;  // by term

  void note(std::int64_t now, int node, const core::Effects& effects) {
    const auto name = "node-" + std::to_string(node);
    for (const auto& line : effects.logs)
      if (line.event == telemetry::Event::leader_elected)
        leaders[std::stoull(after(telemetry::text(telemetry::entry(line)), "term="))] = {name, now};
    for (const auto& reply : effects.replies) note_answer(now, name, reply.body);
    for (const auto& message : effects.peer_messages)
      if (const auto decoded = wire::decode_peer(message.bytes))
        if (decoded->kind == Kind::relay_response) note_answer(now, name, decoded->text);
  }
  // Terms whose leader answered a worker after the next one had been elected.
  std::size_t overlaps() const {
    std::size_t count = 0;
    for (const auto& [term, leader] : leaders) {
      const auto next = leaders.upper_bound(term);
      if (next != leaders.end() && leader.last_answer_at > next->second.elected_at) ++count;
    }
    return count;
  }

 private:
  static std::string after(const std::string& text, const std::string& mark) {
    return text.substr(text.find(mark) + mark.size());
  }
  // Followers pass answers on a moment later: only the leader's own count.
  void note_answer(std::int64_t now, const std::string& node, const std::string& body) {
    const auto answer = wire::parse_heartbeat_response(body);
    const auto it = answer ? leaders.lower_bound(answer->fencing_token) : leaders.end();
    if (it != leaders.end() && election::is_token_of(it->first, answer->fencing_token) &&
        it->second.node == node)
      it->second.last_answer_at = now;
  }
};

std::size_t overlapping_terms(Scenario scenario) {
  Terms terms;
  scenario.mutant = [&terms](std::int64_t now, int node, core::Effects& effects) {
    terms.note(now, node, effects);
  };
  ClusterSimulation simulation(scenario);
  SCOPED_TRACE(simulation.description());
  simulation.run();
  EXPECT_GE(terms.leaders.size(), 3U);
  if (!scenario.repeats_process_seeds) expect_sound(simulation);
  return terms.overlaps();
}

TEST(FormerProcess, LateAbstentionsLetNoTwoLeadersAct) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    EXPECT_EQ(overlapping_terms(late_abstentions(seed)), 0U) << seed;
}

// A mutant, as above.
TEST(FormerProcessChecker, CatchesAbstentionsGivenToAnEarlierProcess) {
  std::size_t overlaps = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds && overlaps == 0; ++seed) {
    auto scenario = late_abstentions(seed);
    scenario.repeats_process_seeds = true;
    overlaps = overlapping_terms(scenario);
  }
  EXPECT_GT(overlaps, 0U);
}

// A leader ends while it recovers lost state, and what its former process asked for comes late.
TEST(FormerProcess, LateReplicaPartsBreakNoRule) {
  for (const std::int64_t delay_ms : {500, 1'500, 6'000})
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Scenario s;
      s.seed = seed;
      s.restart_ms = kQuickRestartMs;
      s.events = {{60'000, "back 5000"},
                  {60'300, "crash leader"},
                  {60'900, "crash leader"},
                  {61'700, "crash leader"}};
      s.late_peer_messages = {{Kind::replica_part, 60'000, 63'000, delay_ms}};
      ClusterSimulation simulation(s);
      simulation.run();
      expect_sound(simulation);
    }
}

// Zones apart, so that heartbeats are relayed through the store, and a controller whose machine is
// restarted again and again.
TEST(FormerProcess, QuickRestartsOfTheMachineBreakNoRuleWithZonesApart) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Scenario s;
    s.seed = seed;
    s.restart_ms = kQuickRestartMs;
    s.restarts_steady_clocks = true;
    for (const char* other : {"node-0", "node-2"})
      s.cuts.push_back({kFirstCrashMs, 110'000, other, "node-1", true});
    s.zone_cuts = {{kFirstCrashMs, 110'000, "east", "west", true}};
    for (auto when = kFirstCrashMs + 5'000; when < 100'000; when += 3'100)
      s.events.push_back({when, "crash node-1"});
    ClusterSimulation simulation(s);
    simulation.run();
    expect_sound(simulation);
  }
}

}  // namespace
}  // namespace hitchfront::testing
