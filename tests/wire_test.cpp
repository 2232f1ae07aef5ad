#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "jobs/job_state.hpp"
#include "wire/batch.hpp"
#include "wire/cancellation_batch.hpp"
#include "wire/job.hpp"
#include "wire/peer.hpp"
#include "wire/varint.hpp"
#include "wire/worker.hpp"

namespace hitchfront::wire {
namespace {
using nlohmann::json;

json good_job() {
  return json::parse(
      R"({"Ref":"run-000412","Docket":"train","Desk":"vision","Form":"sweep","Standing":"urgent",
    "Lots":16,"Cpus":8.0,"Cards":1.0,"RamGb":64.0,"Kit":"img-07","ImageGb":6.2,"Rigs":["g8"],"Hall":null,
    "Together":true,"Spread":false,"Loaners":true,"ReckonS":240.0,"MarkS":30.0,"StowS":4.0,"DueS":900.0})");
}

TEST(Job, RoundTrip) {
  const auto parsed = parse_job(good_job().dump());
  ASSERT_TRUE(parsed.job);
  EXPECT_EQ(parsed.job->tasks, 16U);
  EXPECT_EQ(parsed.job->priority, Priority::high);
  EXPECT_FALSE(parsed.job->zone);
  const auto again = parse_job(to_json(*parsed.job).dump());
  ASSERT_TRUE(again.job);
  EXPECT_EQ(to_json(*again.job), to_json(*parsed.job));
  const auto unfinished =
      decode_unfinished_job(json::parse(encode(UnfinishedJob{*parsed.job, 12345, true, 7})));
  ASSERT_TRUE(unfinished);
  EXPECT_EQ(unfinished->accepted_ms, 12345);
  EXPECT_TRUE(unfinished->cancelled);
  EXPECT_EQ(unfinished->launch_watermark, 7U);
}

TEST(Job, NullableFieldsMayBeMissingAndUnknownOnesAreIgnored) {
  auto o = good_job();
  o.erase("Rigs");
  o.erase("Hall");
  o.erase("DueS");
  o["Novelty"] = {1, 2};
  EXPECT_TRUE(parse_job(o.dump()).job);
}

TEST(Job, RefusesBadFieldsByName) {
  const std::pair<const char*, json> bad[] = {
      {"Ref", "job-1"},  {"Ref", 5},         {"Ref", ""},         {"Docket", nullptr},
      {"Desk", ""},      {"Form", "gang"},   {"Standing", "low"}, {"Lots", 0},
      {"Lots", 100001},  {"Lots", 1.5},      {"Lots", -1},        {"Cpus", -1},
      {"Cpus", "8"},     {"Cards", nullptr}, {"RamGb", 1e300},    {"Rigs", "g8"},
      {"Rigs", {1}},     {"Hall", 5},        {"Together", 1},     {"Spread", nullptr},
      {"Loaners", "no"}, {"Kit", ""},        {"ImageGb", -0.1},   {"ReckonS", nullptr},
      {"MarkS", true},   {"StowS", "4"},     {"DueS", -1}};
  for (const auto& [field, value] : bad) {
    auto o = good_job();
    o[field] = value;
    const auto p = parse_job(o.dump());
    EXPECT_FALSE(p.job) << field << " = " << value;
    ASSERT_TRUE(p.error);
    EXPECT_EQ(p.error->field, field);
    // A repeat of a known job is recognised by its id however bad the rest is.
    EXPECT_EQ(p.known_id, std::string(field) == "Ref" ? "" : "run-000412");
  }
  for (const char* text :
       {"", "[]", "7", "{", R"({"Ref":"run-1","Cpus":1e999})", "{\"Ref\":\"\xff\"}"})
    EXPECT_FALSE(parse_job(text).job) << text;
  EXPECT_FALSE(parse_job(std::string(kMaxBodyBytes + 1, ' ')).job);
}

TEST(Worker, ReportAndAnswerRoundTrip) {
  Heartbeat r;
  r.machine = "n-1";
  r.addr = "10.0.0.1:9";
  r.type = "g8";
  r.zone = "a";
  r.spot = true;
  r.incarnation = 3;
  r.seq = std::numeric_limits<std::uint64_t>::max();
  r.fencing_token = std::numeric_limits<std::uint64_t>::max() - 1;
  r.notice_s = 7.5;
  r.tasks = {{"run-1", 4, 1ULL << 63, TaskState::running, Cause::none, false},
             {"run-2", 0, 2, TaskState::ended, Cause::stopped, true}};
  const auto back = parse_heartbeat(encode(r));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->seq, r.seq);
  EXPECT_EQ(back->fencing_token, r.fencing_token);
  EXPECT_EQ(back->notice_s, 7.5);
  ASSERT_EQ(back->tasks.size(), 2U);
  EXPECT_EQ(back->tasks[0].attempt, 1ULL << 63);
  EXPECT_EQ(back->tasks[1].cause, Cause::stopped);
  EXPECT_TRUE(back->tasks[1].saved);
  const auto answer = parse_heartbeat_response(
      encode_heartbeat_response(41, {{Command::Op::stop, "run-377", 1, 9, 10}}));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->fencing_token, 41U);
  EXPECT_EQ(answer->commands.at(0).grace_s, 10);
  for (const char* text : {"", "{}", R"({"Post":"n","Lots":[{"Lot":"x"}]})", "[1]"})
    EXPECT_FALSE(parse_heartbeat(text));
}

TEST(Varint, RoundTripsAndRefusesBrokenBytes) {
  std::mt19937_64 random(3);
  for (int i = 0; i < 2000; ++i) {
    const std::uint64_t v = random() >> (random() % 64);
    std::string out;
    put_varint(out, v);
    VarintReader in(out);
    EXPECT_EQ(in.integer(), v);
    EXPECT_TRUE(in.at_end());
    // Every proper prefix is incomplete.
    VarintReader cut(std::string_view(out).substr(0, out.size() - 1));
    cut.integer();
    EXPECT_FALSE(cut.ok());
  }
  VarintReader endless(std::string_view("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", 11));
  endless.integer();
  EXPECT_FALSE(endless.ok());
  VarintReader beyond(
      std::string_view("\x05"
                       "ab",
                       3));
  EXPECT_EQ(beyond.text(), "");
  EXPECT_FALSE(beyond.ok());
}

TEST(Varint, FramesComeOutOfAStreamByteByByte) {
  std::string stream, frame, buffer;
  put_text(stream, "one");
  put_text(stream, "");
  put_text(stream, std::string(300, 'x'));
  std::vector<std::string> frames;
  for (char c : stream) {
    buffer.push_back(c);
    while (take_frame(buffer, frame, 1000) == FrameResult::frame) frames.push_back(frame);
  }
  EXPECT_EQ(frames, (std::vector<std::string>{"one", "", std::string(300, 'x')}));
  std::string large;
  put_varint(large, 1001);
  EXPECT_EQ(take_frame(large, frame, 1000), FrameResult::malformed);
}

TEST(Peer, RoundTripsAndSurvivesAnyBytes) {
  const auto counts = decode_counts(encode_counts({{true, 8, 90'000}, {}}));
  ASSERT_TRUE(counts && counts->size() == 2);
  EXPECT_TRUE((*counts)[0].known && !(*counts)[1].known);
  EXPECT_EQ((*counts)[0].running, 90'000U);
  EXPECT_EQ(decode_jobs(encode_jobs({"run-1", "run-22"})),
            (std::vector<std::string>{"run-1", "run-22"}));
  EXPECT_FALSE(decode_jobs("run-000412"));  // as an earlier version asks
  EXPECT_FALSE(decode_counts(std::string_view("\x01", 1)));
  PeerMessage m;
  m.kind = PeerMessage::Kind::job_counts_response;
  m.id = 7;
  m.a = 8;
  m.b = 9;
  m.text = "run-1";
  const auto back = decode_peer(encode(m));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->kind, m.kind);
  EXPECT_EQ(back->b, 9U);
  EXPECT_EQ(back->text, "run-1");
  EXPECT_TRUE(decode_peer(encode(m) + "newer"));
  std::mt19937 random(5);
  for (int i = 0; i < 5000; ++i) {
    std::string bytes = encode(m);
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % (bytes.size() + 1));
    const auto d = decode_peer(bytes);
    EXPECT_TRUE(!d || d->text.size() <= bytes.size());
  }
}

TEST(Peer, ACancellationBatchGoesWithAnAbstention) {
  PeerMessage ask;
  ask.kind = PeerMessage::Kind::abstention_request;
  EXPECT_FALSE(decode_peer(encode(ask))->wants_cancellations);  // as an earlier version asks
  ask.wants_cancellations = true;
  ask.position = {~std::uint64_t{0}, 5};
  const auto back = decode_peer(encode(ask));
  ASSERT_TRUE(back && back->wants_cancellations);
  EXPECT_EQ(back->position, ask.position);
  EXPECT_EQ(back->write_demand, 0U);
  const cancellation::CancellationBatch batch{~std::uint64_t{0},  true, 3, 5, 9,
                                              {"run-1", "run-22"}};
  const auto text = encode(batch);
  ASSERT_TRUE(decode_cancellation_batch(text));
  EXPECT_EQ(*decode_cancellation_batch(text), batch);
  EXPECT_FALSE(decode_cancellation_batch("")) << "an earlier version's promise vouches for nothing";
  for (std::size_t n = 0; n < text.size(); ++n)
    EXPECT_FALSE(decode_cancellation_batch(std::string_view(text).substr(0, n))) << n;
  EXPECT_FALSE(
      decode_cancellation_batch(encode(cancellation::CancellationBatch{1, true, 6, 5, 9, {}})))
      << "a part that ends before it begins";
}

TEST(Progress, ChunksRoundTripForTheMaximumJob) {
  core::JobState a, b;
  a.spec.id = b.spec.id = "run-1";
  a.spec.tasks = b.spec.tasks = kMaxTasks;
  a.initialize_tasks(1);
  b.initialize_tasks(1);
  std::mt19937 random(9);
  for (int i = 0; i < 30'000; ++i) a.set_phase(random() % kMaxTasks, core::TaskPhase::done);
  for (std::size_t c = 0; c < a.chunks(); ++c) {
    const auto form = c % 2 == 0 ? ProgressForm::bitmap : ProgressForm::runs;
    const auto text = a.encode_chunk(c, form);
    EXPECT_LE(text.size(), 8U * 1024) << "must fit the smallest value limit";
    b.merge_chunk(c, 7, text);
    EXPECT_EQ(b.chunk_form[c], form);
  }
  EXPECT_EQ(b.chunks_in_other_form(ProgressForm::bitmap), b.chunks() / 2);
  EXPECT_EQ(a.phase, b.phase);
  EXPECT_EQ(b.stored_completions, a.done);
}

Heartbeat busy_heartbeat(std::mt19937& random, int n) {
  Heartbeat r;
  r.machine = "n-" + std::to_string(100000 + n);
  r.addr = "10.1.0." + std::to_string(n % 250) + ":9000";
  r.type = n % 2 == 0 ? "big" : "small";
  r.zone = "east";
  r.spot = n % 3 == 0;
  r.incarnation = 1 + random() % 3;
  r.seq = random();
  r.fencing_token = 41;
  if (n % 5 == 0) r.notice_s = 7.25;
  for (int i = 0; i < 8; ++i) {
    TaskStatus t;
    t.job = "run-" + std::to_string(random() % 20);
    t.task = random() % 2000;
    t.attempt = 41ULL << 32 | (random() % 100000);
    t.state = static_cast<TaskState>(random() % 4);
    if (t.state == TaskState::ended) t.cause = static_cast<Cause>(1 + random() % 6);
    t.saved = t.cause == Cause::stopped;
    r.tasks.push_back(t);
  }
  return r;
}

// Two zones apart at full size: a relay has few writes a second, so many reports must fit into a
// value.
TEST(Batch, CarriesManyReportsAndKeepsEachExactly) {
  std::mt19937 random(3);
  std::vector<std::pair<std::uint64_t, Heartbeat>> heartbeats;
  for (int i = 0; i < 100; ++i) heartbeats.emplace_back(i + 1, busy_heartbeat(random, i));
  auto rest = heartbeats;
  std::size_t at = 0, values = 0;
  while (!rest.empty()) {
    const auto text = encode_heartbeats(rest, 6000);
    EXPECT_LE(text.size(), 6000U);
    const auto back = decode_heartbeats(text);
    ASSERT_TRUE(back);
    for (const auto& [id, r] : *back) {
      EXPECT_EQ(id, heartbeats[at].first);
      EXPECT_EQ(encode(r), encode(heartbeats[at].second));
      ++at;
    }
    ++values;
  }
  EXPECT_EQ(at, heartbeats.size());
  EXPECT_LE(values, 4U);
  // One that is too large by itself still goes.
  std::vector<std::pair<std::uint64_t, Heartbeat>> one = {{7, busy_heartbeat(random, 1)}};
  EXPECT_FALSE(encode_heartbeats(one, 10).empty());
  EXPECT_TRUE(one.empty());
}

TEST(Batch, AnswersComeBackAsTheLeaderGaveThem) {
  std::vector<RelayedResponse> answers;
  answers.push_back({1, 503, error_body("no leader"), {}});
  answers.push_back({2,
                     200,
                     {},
                     {41,
                      {{Command::Op::start, "run-7", 3, 41ULL << 32 | 9, 0},
                       {Command::Op::stop, "run-7", 4, 41ULL << 32 | 8, 6.0001},
                       {Command::Op::forget, "run-8", 1999, 2, 0}}}});
  const auto sent = answers;
  const auto back = decode_responses(encode_responses(answers, 6000));
  ASSERT_TRUE(back);
  ASSERT_EQ(back->size(), 2U);
  EXPECT_EQ((*back)[0].body, sent[0].body);
  EXPECT_EQ((*back)[0].status, 503);
  const auto& got = (*back)[1].commands;
  EXPECT_EQ(got.fencing_token, 41U);
  EXPECT_EQ(got.commands[0].attempt, 41ULL << 32 | 9);
  EXPECT_GE(got.commands[1].grace_s, 6.0001) << "a grace never gets shorter";
  EXPECT_EQ(got.commands[2].job, "run-8");
  EXPECT_EQ(got.commands[2].task, 1999U);
}

TEST(Batch, SurvivesAnyText) {
  std::mt19937 random(8);
  std::vector<std::pair<std::uint64_t, Heartbeat>> heartbeats = {{1, busy_heartbeat(random, 1)},
                                                                 {2, busy_heartbeat(random, 2)}};
  const auto text = encode_heartbeats(heartbeats, 6000);
  for (int i = 0; i < 5000; ++i) {
    auto bad = text;
    bad[random() % bad.size()] = static_cast<char>(random());
    bad.resize(random() % (bad.size() + 1));
    const auto back = decode_heartbeats(bad);
    EXPECT_TRUE(!back || back->size() <= bad.size());
    decode_responses(bad);
  }
  EXPECT_FALSE(decode_heartbeats("not base64!"));
}

}  // namespace
}  // namespace hitchfront::wire
