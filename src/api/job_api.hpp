// The users' request handler: accepts, answers and cancels through the store, on any node.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "api/job_api_host.hpp"
#include "api/job_keys.hpp"
#include "api/job_records.hpp"
#include "api/outcome_reads.hpp"
#include "api/unfinished_job_cache.hpp"
#include "api/user_request.hpp"
#include "recovery/state_replica.hpp"
#include "settings/platform.hpp"
#include "wire/cloud.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {

class JobApi {
 public:
  // `replica`: takes what users are answered with at once. All of them outlive this object.
  JobApi(Outbox& out, StoreClient& store, const settings::Platform& platform, JobApiHost& host,
         recovery::StateReplica& replica);
  JobApi(const JobApi&) = delete;
  JobApi& operator=(const JobApi&) = delete;

  void set_types(std::vector<wire::MachineType> types) { types_ = std::move(types); }
  bool knows_types() const { return !types_.empty(); }

  // Each is answered through the outbox, in this turn or in a later one. `wall_ms`: time of day.
  void submit(Ms now, std::int64_t wall_ms, std::uint64_t request, std::string_view body);
  void status(Ms now, std::uint64_t request, const std::string& id);
  void cancel(Ms now, std::uint64_t request, const std::string& id);
  // The user is to come again; nothing has been decided.
  void refuse(std::uint64_t request, telemetry::Refusal reason);

  void tick(Ms now) { cache_.tick(now); }
  // Of the cache of unfinished jobs, though nobody asks.
  void refresh(Ms now);
  void state_lost() { cache_.forget(); }
  // Tasks of it may be launched from now on: known to the others before the first of them is.
  void publish_launch_watermark(const std::string& id, const wire::UnfinishedJob& record) {
    records_.publish_unfinished(id, record);
  }
  UnfinishedJobCache& cache() { return cache_; }

 private:
  Outbox& out_;
  std::vector<wire::MachineType> types_;
  UnfinishedJobCache cache_;
  JobRecords records_;
  OutcomeReads outcome_reads_;
  JobApiContext context_;
};

}  // namespace hitchfront::core
