// POST /work: checks a job and stores it, or answers the repeat of one that was accepted before.
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
  // `wall_ms`: time of day.
  static void start(Ms now, JobApiContext& context, std::uint64_t request, std::string_view body,
                    std::int64_t wall_ms);

 private:
  // A refusal for good, unless the job turns out to have been accepted before.
  struct Denial {
    int status = 0;
    wire::BadField bad;
  };
  SubmitRequest(JobApiContext& context, std::uint64_t request, std::string id)
      : UserRequest(context, request, std::move(id)) {}

  // ---- repeats
  bool is_known_repeat(const wire::ParsedJob& parsed) const;
  // Of what this node knows to have been accepted; by the read that polls share, so that it costs
  // no write.
  void respond_to_repeat(Ms now);
  void respond_to_cached(Ms now, const UnfinishedJobCache::Job& job);
  void look_up_repeat(Ms now);

  // ---- submissions that can't be accepted
  std::optional<Denial> denial_of(const wire::ParsedJob& parsed) const;
  std::optional<wire::BadField> can_never_run(const wire::Job& job) const;
  void look_up_before_denying(Ms now, std::optional<Denial> denial);

  // ---- dependencies: each of them must have been accepted
  void check_dependencies(Ms now);
  void look_up_dependencies(Ms now);
  void dependency_found(Ms now, const std::string& name, bool known, const FoundJob& found);
  std::optional<wire::BadField> cannot_be_awaited(const std::string& id) const;
  void take_dependencies(Ms now);

  // ---- acceptance
  void check(Ms now, wire::Job job, std::int64_t wall_ms);
  void store(Ms now);
  void stored(Ms now, bool known, int status);
  void look_up_conflict(Ms now);

  wire::UnfinishedJob record_;
  std::vector<std::string> unchecked_dependencies_;
  bool may_store_again_ = true;
};

}  // namespace hitchfront::core
