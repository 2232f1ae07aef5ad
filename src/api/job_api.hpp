// Handles user requests on any node: submits, polls and cancels jobs through the store.
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
  // `replica`: updated with everything that responses to users are based on. All references must
  // outlive this object.
  JobApi(Outbox& outbox, StoreClient& store, const settings::Platform& platform, JobApiHost& host,
         recovery::StateReplica& replica);
  JobApi(const JobApi&) = delete;
  JobApi& operator=(const JobApi&) = delete;

  void set_types(std::vector<wire::MachineType> types) { machine_types_ = std::move(types); }
  bool has_types() const { return !machine_types_.empty(); }

  // Each sends its response through the outbox, during the call or later. `wall_ms`: wall-clock
  // time.
  void submit(Ms now, std::int64_t wall_ms, std::uint64_t request, std::string_view body);
  void status(Ms now, std::uint64_t request, const std::string& id);
  void cancel(Ms now, std::uint64_t request, const std::string& id);
  // Responds that the user should retry later.
  void refuse(std::uint64_t request, telemetry::Refusal reason);

  void tick(Ms now) { cache_.tick(now); }
  // Refreshes the cache of unfinished jobs without a poll.
  void refresh_cache(Ms now);
  // The stored state was lost or has been recovered: cached records may no longer match it.
  void state_lost() { cache_.invalidate(); }
  // Sends a record whose launch watermark was raised to the other controllers. Called once the
  // record is stored, before the tasks below the watermark are launched.
  void publish_launch_watermark(const std::string& id, const wire::UnfinishedJob& record) {
    records_.publish_unfinished(id, record);
  }
  UnfinishedJobCache& cache() { return cache_; }

 private:
  Outbox& outbox_;
  std::vector<wire::MachineType> machine_types_;
  UnfinishedJobCache cache_;
  JobRecords records_;
  OutcomeReads outcome_reads_;
  JobApiContext context_;
};

}  // namespace hitchfront::core
