// GET /work/{id}. docs/safety.md, "Polls that share a read", says why no response is older than one
// that another node has given.
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
  void ask_cache(Ms now);
  void respond_unfinished(Ms now, const UnfinishedJobCache::Job& job);
  void ask_counts(Ms now, bool surely_launched);
  // Not among the unfinished: over, or never submitted.
  void read_outcome(Ms now);
  void respond_outcome(Ms now, const wire::JobOutcome& outcome);

  bool known_ = false;  // in this node's replica when the cache was asked
};

}  // namespace hitchfront::core
