// POST /work: validates a job and stores it. Idempotent by job id: the resubmission of an accepted
// job is answered with its status.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "api/user_request.hpp"

namespace hitchfront::core {

class SubmitRequest : public UserRequest {
 public:
  // `wall_ms`: wall-clock time.
  static void start(Ms now, JobApiContext& context, std::uint64_t request, std::string_view body,
                    std::int64_t wall_ms);

 private:
  // A permanent error, which is sent only if the job has not been accepted before.
  struct Rejection {
    int status = 0;
    wire::FieldError error;
  };
  SubmitRequest(JobApiContext& context, std::uint64_t request, std::string id)
      : UserRequest(context, request, std::move(id)) {}

  // --- resubmissions ---
  bool is_known_resubmission(const wire::ParsedJob& parsed) const;
  // Responds from the read that user polls share, which costs no write.
  void respond_to_resubmission(Ms now);
  void respond_from_cache(Ms now, const UnfinishedJobCache::Job& job);
  void look_up_resubmission(Ms now);

  // --- invalid submissions ---
  std::optional<Rejection> rejection_for(const wire::ParsedJob& parsed) const;
  // A requirement of the job that its team's limits or the machine types can never satisfy.
  std::optional<wire::FieldError> unsatisfiable_requirement(const wire::Job& job) const;
  void look_up_before_rejecting(Ms now, std::optional<Rejection> rejection);

  // --- dependencies: each of them must have been accepted ---
  void check_dependencies(Ms now);
  void look_up_dependencies(Ms now);
  void process_dependency(Ms now, const std::string& dependency_id, bool was_known,
                          const JobLookup& lookup);
  // An error if the dependency is a service, as far as the replica shows.
  std::optional<wire::FieldError> invalid_dependency(const std::string& id) const;
  void apply_dependencies(Ms now);

  // --- acceptance ---
  // Stores a valid job, after checking its size and its dependencies.
  void accept(Ms now, wire::Job job, std::int64_t wall_ms);
  void store(Ms now);
  void on_stored(Ms now, bool was_known, int status);
  void resolve_conflict(Ms now);

  wire::UnfinishedJob record_;
  std::vector<std::string> unchecked_dependencies_;
  bool may_retry_store_ = true;
};

}  // namespace hitchfront::core
