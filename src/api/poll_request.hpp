// GET /work/{id}. docs/safety.md, "Polls that share a read", explains why no response is staler
// than one that another node has already given.
#pragma once
#include <string>
#include <utility>

#include "api/user_request.hpp"

namespace hitchfront::core {

class PollRequest : public UserRequest {
 public:
  static void start(Ms now, JobApiContext& context, std::uint64_t request, const std::string& id);

 private:
  PollRequest(JobApiContext& context, std::uint64_t request, std::string id)
      : UserRequest(context, request, std::move(id)) {}
  void begin(Ms now);
  void query_cache(Ms now);
  void respond_unfinished(Ms now, const UnfinishedJobCache::Job& job);
  void request_task_counts(Ms now, bool has_launched);
  // The job is not unfinished: it has finished, or was never submitted.
  void read_outcome(Ms now);
  void respond_outcome(Ms now, const wire::JobOutcome& outcome);

  bool was_known_ = false;  // this node's replica held the job when the cache was queried
};

}  // namespace hitchfront::core
