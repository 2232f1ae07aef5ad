// Base class of submissions, polls and cancellations. A request is kept alive by the callbacks that
// it waits for, and sends exactly one response.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api/job_api_host.hpp"
#include "api/job_records.hpp"
#include "api/outcome_reads.hpp"
#include "api/refusal.hpp"
#include "api/unfinished_job_cache.hpp"
#include "core/effects.hpp"
#include "kv/store_client.hpp"
#include "settings/platform.hpp"
#include "wire/cloud.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {

// What all requests share. Must outlive them.
struct JobApiContext {
  Outbox& outbox;
  StoreClient& store;
  const settings::Platform& platform;
  JobApiHost& host;
  UnfinishedJobCache& cache;
  JobRecords& records;
  OutcomeReads& outcome_reads;
  const std::vector<wire::MachineType>& machine_types;  // empty: not loaded yet
};

class UserRequest : public std::enable_shared_from_this<UserRequest> {
 public:
  virtual ~UserRequest() = default;
  UserRequest(const UserRequest&) = delete;
  UserRequest& operator=(const UserRequest&) = delete;

 protected:
  using Continuation = std::function<void(Ms now)>;
  UserRequest(JobApiContext& context, std::uint64_t request, std::string id);

  template <class Request>
  std::shared_ptr<Request> self() {
    return std::static_pointer_cast<Request>(shared_from_this());
  }

  // --- responses ---
  void respond(int status, std::string body);
  // The response to submissions and cancellations: only the job's id and status.
  void respond_status(int status, std::string_view job_status);
  void refuse(telemetry::Refusal reason);
  void reject(int status, const wire::FieldError& error);
  // Every response that reports a job as cancelled goes through here. Refuses the request while the
  // cancellation of an unfinished job may not be acknowledged.
  void respond_cancelled(Ms now, std::string body);
  void respond_cancelled_status(Ms now);
  // Responds with the job's status. `lookup.exists()` must hold.
  void respond_existing(Ms now, const JobLookup& lookup);
  // For a job without a record in the store: 404, or a refusal if it may have been accepted.
  // `was_known`: this node's replica held the job when the store was queried.
  void respond_unknown(Ms now, bool was_known);

  // --- checks ---
  // Whether a job without a record in the store is certain never to have been accepted. If not,
  // refuses the request.
  bool confirm_unknown_or_refuse(Ms now, bool was_known);
  // Continues unless one of the dependencies is cancelled. In that case stores this job's own
  // cancellation and responds with it, without waiting for the leader to do so: users must not see
  // such a job as pending.
  void continue_unless_dependency_cancelled(Ms now, const std::vector<std::string>& dependencies,
                                            Continuation continuation);

  JobApiContext& context_;
  const std::uint64_t request_;
  std::string id_;
};

std::string_view final_status(const wire::JobOutcome& outcome);

}  // namespace hitchfront::core
