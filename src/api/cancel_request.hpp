// POST /work/{id}/abort: stores the cancellation, unless the job has already finished.
#pragma once
#include <string>
#include <utility>

#include "api/user_request.hpp"

namespace hitchfront::core {

class CancelRequest : public UserRequest {
 public:
  static void start(Ms now, JobApiContext& context, std::uint64_t request, const std::string& id);

 private:
  CancelRequest(JobApiContext& context, std::uint64_t request, std::string id)
      : UserRequest(context, request, std::move(id)) {}
  // Reads the job's record and stores its cancellation by compare-and-swap; retried if the record
  // has changed in between.
  void attempt(Ms now);
  void store(Ms now, const JobLookup& lookup);
  void on_stored(Ms now, const wire::UnfinishedJob& record, int status);

  int attempts_ = 0;
};

}  // namespace hitchfront::core
