// What is written after a data loss, from merged replicas and what is still stored.
#include "recovery/recovery_plan.hpp"

#include <gtest/gtest.h>

#include "recovery/replica_gathering.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::recovery {
namespace {

wire::UnfinishedJob job_record(const std::string& id, std::uint32_t watermark) {
  wire::UnfinishedJob record;
  record.job.id = id;
  record.job.job_class = "a";
  record.job.team = "team";
  record.job.image = "image";
  record.job.tasks = 100;
  record.job.cpus = 1;
  record.job.memory_gb = 1;
  record.job.estimate_s = 60;
  record.launch_watermark = watermark;
  return record;
}

std::string stored_text(const std::string& text) {
  return nlohmann::json::parse(text).dump();
}

std::string bits(std::initializer_list<std::uint32_t> done_tasks) {
  std::vector<bool> done(100);
  for (const auto task : done_tasks) done[task] = true;
  return wire::encode_progress(done, wire::ProgressForm::bitmap);
}

constexpr RecoveryBatchLimits kNoLimits{1000, 1'000'000};

TEST(RecoveryPlan, WritesNothingWhereEverythingIsStored) {
  const auto record = wire::encode(job_record("run-1", 3));
  StateReplica merged(10);
  merged.add_unfinished("run-1", record, false, 3);
  merged.set_progress("run-1", 0, bits({1}));
  merged.add_outcome("run-2", {false, 5});
  const StoredValues stored = {
      {"live/run-1", {4, stored_text(record)}},
      {"prog/run-1/0", {5, nlohmann::json(bits({1})).dump()}},
      {"over/run-2", {6, stored_text(wire::encode(wire::JobOutcome{false, 4}))}}};
  EXPECT_TRUE(RecoveryPlan(merged, stored, {}).empty());
}

TEST(RecoveryPlan, WritesTheMostThatIsKnownOfAnUnfinishedJob) {
  StateReplica merged(10), other(10);
  merged.add_unfinished("run-1", wire::encode(job_record("run-1", 3)), false, 40);
  merged.set_progress("run-1", 0, bits({1}));
  other.add_unfinished("run-1", wire::encode(job_record("run-1", 3)), true, 20);
  other.set_progress("run-1", 0, bits({2}));
  merged.merge(other);
  const RecoveryPlan plan(merged, {}, {wire::ProgressForm::bitmap, false});
  const auto writes = plan.next_batch(kNoLimits);
  ASSERT_EQ(writes.size(), 2U);
  auto expected = job_record("run-1", 40);
  expected.cancelled = true;
  EXPECT_EQ(writes[0], (PlannedWrite{"live/run-1", stored_text(wire::encode(expected))}));
  EXPECT_EQ(writes[1], (PlannedWrite{"prog/run-1/0", nlohmann::json(bits({1, 2})).dump()}));
  const auto all = RecoveryPlan(merged, {}, {wire::ProgressForm::bitmap, true});
  const auto raised =
      wire::decode_unfinished_job(nlohmann::json::parse(all.next_batch(kNoLimits).front().text));
  ASSERT_TRUE(raised);
  EXPECT_EQ(raised->launch_watermark, 100U) << "where watermarks may be behind";
}

TEST(RecoveryPlan, RemovesWhatAJobThatIsOverHasLeft) {
  StateReplica merged(10);
  merged.add_outcome("run-1", {true, 2});
  const StoredValues stored = {{"live/run-1", {4, "{}"}},
                               {"prog/run-1/0", {5, "\"f\""}},
                               {"prog/run-1/1", {5, "\"f\""}},
                               {"prog/run-10/0", {5, "\"f\""}}};
  const auto writes = RecoveryPlan(merged, stored, {}).next_batch(kNoLimits);
  const auto outcome = stored_text(wire::encode(wire::JobOutcome{true, 2}));
  EXPECT_EQ(writes, (std::vector<PlannedWrite>{{"over/run-1", outcome},
                                               {"live/run-1", {}},
                                               {"prog/run-1/0", {}},
                                               {"prog/run-1/1", {}}}));
}

TEST(RecoveryPlan, DropsWhatIsOnlyKnownByItsProgress) {
  StateReplica merged(10);
  merged.set_progress("run-1", 0, bits({1}));
  EXPECT_TRUE(RecoveryPlan(merged, {}, {}).empty());
}

// Jobs stay together unless one alone is more than a transaction holds; nothing is left out or
// comes twice.
TEST(RecoveryPlan, IsWrittenInBatchesThatKeepJobsTogether) {
  StateReplica merged(10);
  StoredValues stored;
  const auto remove = [&](const std::string& job, int chunks) {
    merged.add_outcome(job, {false, 1});
    stored[wire::job_outcome_key(job)] = {1, wire::encode(wire::JobOutcome{false, 1})};
    for (int chunk = 0; chunk < chunks; ++chunk)
      stored[wire::encode(wire::ProgressKey{job, static_cast<std::uint32_t>(chunk)})] = {1, "\"\""};
  };
  remove("run-1", 2);
  remove("run-2", 2);
  remove("run-3", 7);
  RecoveryPlan plan(merged, stored, {});
  const RecoveryBatchLimits limits{3, 1'000'000};
  std::vector<std::size_t> sizes;
  std::set<std::string> keys;
  std::size_t writes = 0;
  while (!plan.empty()) {
    const auto batch = plan.next_batch(limits);
    ASSERT_FALSE(batch.empty());
    EXPECT_EQ(plan.next_batch(limits), batch) << "until it is confirmed";
    for (const auto& write : batch) keys.insert(write.key);
    sizes.push_back(batch.size());
    writes += batch.size();
    plan.confirm(batch.size());
  }
  EXPECT_EQ(sizes, (std::vector<std::size_t>{2, 2, 3, 3, 1}));
  EXPECT_EQ(writes, 11U);
  EXPECT_EQ(keys.size(), 11U);
  RecoveryPlan by_bytes(merged, stored, {});
  EXPECT_EQ(by_bytes.next_batch({1000, 1}).size(), 2U) << "one job at the least";
}

TEST(ReplicaGathering, IsCompleteWithAllPartsInWhateverOrder) {
  ReplicaGathering gathering;
  gathering.expect("a");
  gathering.expect("b");
  gathering.record_part("stranger", 0, 1);
  EXPECT_FALSE(gathering.expects("stranger"));
  gathering.record_part("a", 2, 3);
  gathering.record_part("a", 0, 3);
  gathering.record_part("a", 0, 3);
  EXPECT_EQ(gathering.complete_count(), 0U);
  gathering.record_part("a", 1, 3);
  EXPECT_EQ(gathering.complete_count(), 1U);
  EXPECT_EQ(gathering.incomplete(), std::set<std::string>{"b"});
  EXPECT_EQ(gathering.expected_count(), 2U);
}

TEST(JobKeys, OfProgressComeBackAndAnythingElseIsRefused) {
  const auto parsed = wire::parse_progress_key(wire::encode(wire::ProgressKey{"run-1", 12}));
  ASSERT_TRUE(parsed);
  EXPECT_TRUE(parsed->job == "run-1" && parsed->chunk == 12);
  for (const char* bad :
       {"", "prog/", "prog/run-1", "prog/run-1/", "prog/run-1/x", "prog/run-1/1x", "over/run-1/1"})
    EXPECT_FALSE(wire::parse_progress_key(bad)) << bad;
}

}  // namespace
}  // namespace hitchfront::recovery
