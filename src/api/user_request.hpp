// One request of a user, from its arrival to its response: what submissions, polls and
// cancellations have in common. A request is held by whatever it waits for, and sends one response.
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

// What requests work with. It outlives them.
struct JobApiContext {
  Outbox& out;
  StoreClient& store;
  const settings::Platform& platform;
  JobApiHost& host;
  UnfinishedJobCache& cache;
  JobRecords& records;
  OutcomeReads& outcome_reads;
  const std::vector<wire::MachineType>& types;  // empty: not known yet
};

class UserRequest : public std::enable_shared_from_this<UserRequest> {
 public:
  virtual ~UserRequest() = default;
  UserRequest(const UserRequest&) = delete;
  UserRequest& operator=(const UserRequest&) = delete;

 protected:
  using Step = std::function<void(Ms now)>;
  UserRequest(JobApiContext& context, std::uint64_t request, std::string id);

  template <class Request>
  std::shared_ptr<Request> self() {
    return std::static_pointer_cast<Request>(shared_from_this());
  }

  // ---- responses
  void respond(int status, std::string body);
  // With the job's status alone, as submissions and cancellations are answered.
  void respond_status(int status, std::string_view job_status);
  void refuse(telemetry::Refusal reason);
  void deny(int status, const wire::BadField& bad);
  // Every response that calls a job cancelled is sent here, or is refused for now.
  void respond_cancelled(Ms now, std::string body);
  void respond_cancelled_status(Ms now);
  void respond_found(Ms now, const FoundJob& found);
  // 404, or a refusal where the job may have been accepted. `known`: this node had it in its
  // replica when the store was asked.
  void respond_unknown(Ms now, bool known);

  // ---- steps
  // Whether a job that the store does not know may be treated as new; refuses where it may not be.
  bool may_be_new(Ms now, bool known);
  // Goes on unless the job has to be cancelled with one that it depends on. Then that is stored and
  // answered: no user is to read that it waits because no leader has come to it.
  void unless_cancelled_with(Ms now, const std::vector<std::string>& dependencies, Step otherwise);

  JobApiContext& context_;
  const std::uint64_t request_;
  std::string id_;
};

std::string_view final_status(const wire::JobOutcome& outcome);

}  // namespace hitchfront::core
