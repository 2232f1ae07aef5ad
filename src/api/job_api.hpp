// The users' side: accepts, answers and cancels through the store, on any node.
#pragma once
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

#include "api/unfinished_job_cache.hpp"
#include "recovery/state_replica.hpp"
#include "settings/platform.hpp"
#include "wire/cloud.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {

inline std::string unfinished_key(std::string_view id) {
  return "live/" + std::string(id);
}
inline std::string outcome_key(std::string_view id) {
  return "over/" + std::string(id);
}

class JobApi {
 public:
  // Asks whoever leads for counts of a job's tasks; calls back with {done, running}, perhaps never
  // with real ones: they are for display only.
  struct Counts {
    std::uint32_t done = 0, running = 0;
  };
  using AskCounts = std::function<void(Ms, const std::string& id,
                                       std::function<void(Ms, std::optional<Counts>)>)>;

  // `copy`: what users were told is in it at once. `sure`: whether an id that the store does not
  // know may be called so. `heard`: whether it may be accepted as new.
  JobApi(Outbox& out, StoreClient& store, const settings::Platform& platform, AskCounts ask,
         recovery::StateReplica& replica, std::function<bool(Ms)> sure,
         std::function<bool(Ms)> heard);

  void set_types(std::vector<wire::MachineType> types) { types_ = std::move(types); }
  bool knows_types() const { return !types_.empty(); }

  void submit(Ms now, std::int64_t wall_ms, std::uint64_t request, std::string_view body);
  void status(Ms now, std::uint64_t request, const std::string& id);
  void cancel(Ms now, std::uint64_t request, const std::string& id, int tries = 0);
  // The user is to come again; nothing has been decided.
  void refuse(std::uint64_t request, telemetry::Refusal why, int status = 503);
  void tick(Ms now) { view_.tick(now); }
  void refresh(Ms now) {
    view_.ask(now, {}, [](Ms, bool, const UnfinishedJobCache::Job*) {});
  }  // of the copy of unfinished jobs
  void state_lost() { view_.forget(); }
  // What the store says of a job is less than what is known to have been stored: proof that it has
  // lost something.
  std::function<void(Ms)> on_contradiction;
  // Tasks of it may be launched from now on: known to the others before the first of them is.
  void publish_launch_watermark(const std::string& id, const wire::UnfinishedJob& record) {
    publish_unfinished(id, record);
  }
  // Something that a user is about to be told: the other controllers get it with the same input's
  // messages, before.
  std::function<void(const recovery::StateReplica& published)> on_publish;
  std::function<void(const std::string& key, std::uint64_t stamp)>
      on_read;  // an unfinished job's record
  // Whether a user may be told now that this job, which is not over, is cancelled (docs/safety.md,
  // "Every cancellation that was told").
  std::function<bool(Ms, const std::string& id)> may_acknowledge_cancellation;
  // Whether every controller knows jobs that await others.
  std::function<bool()> may_await;
  UnfinishedJobCache& view() { return view_; }

 private:
  struct Found {
    std::optional<wire::UnfinishedJob> unfinished;
    std::optional<wire::JobOutcome> outcome;
    std::uint64_t version = 0;
    bool failed = false;  // the store can't be asked
  };
  void look_up(Ms now, const std::string& id, std::function<void(Ms, const Found&)> done);
  // `again`: tried once more where it is refused and the job is still unknown.
  void accept(Ms now, std::uint64_t request, const std::string& id,
              const wire::UnfinishedJob& record, bool again);
  // A submission that awaits others: each of them must have been accepted.
  void accept_awaiting(Ms now, std::uint64_t request, const std::string& id,
                       const wire::UnfinishedJob& record);
  void look_up_awaited(Ms now, std::uint64_t request, const std::string& id,
                       const wire::UnfinishedJob& record, std::vector<std::string> unknown);
  std::optional<wire::BadField> cannot_be_awaited(const std::string& id) const;
  bool is_cancelled(
      const std::string& id) const;  // as far as is known here without asking the store
  // Whether a job that needs these, directly or through others, is cancelled with one of them, by
  // what is stored.
  enum class Needs { nothing_cancelled, something_cancelled, unknown };
  struct NeedsSearch {
    std::vector<std::string> open;
    std::set<std::string> seen;
  };
  using OnNeeds = std::function<void(Ms now, Needs needs)>;
  void search_needs(Ms now, const std::shared_ptr<NeedsSearch>& search, const OnNeeds& done);
  // Calls `otherwise` unless the job has to be cancelled with one that it needs. Then that is
  // stored and told; nobody is to be told that it waits because no leader has come to it.
  void unless_cancelled_with(Ms now, std::uint64_t request, const std::string& id,
                             const std::vector<std::string>& awaits,
                             std::function<void(Ms now)> otherwise);
  void respond_unfinished(Ms now, std::uint64_t request, const std::string& id,
                          bool may_have_launched, bool launched);
  void respond_outcome(Ms now, std::uint64_t request, const std::string& id,
                       const wire::JobOutcome& record);
  // A repeat of what this node knows to have been accepted; by the read that polls share, so that
  // it costs no write.
  void respond_to_repeat(Ms now, std::uint64_t request, const std::string& id);
  void look_up_outcome(Ms now, std::uint64_t request, const std::string& id, bool known);
  // For good.
  void deny(std::uint64_t request, int status, const wire::BadField& bad);
  void respond_known(Ms now, std::uint64_t request, const std::string& id, const Found& found);
  // Every answer that calls a job cancelled goes out here, or is refused for now.
  void respond_cancelled(Ms now, std::uint64_t request, const std::string& id, std::string body);
  std::optional<wire::BadField> can_never_run(const wire::Job& job) const;
  void remember_outcome(const std::string& id, wire::JobOutcome record);
  std::optional<wire::JobOutcome> known_outcome(
      const std::string& id) const;  // without asking the store

  Outbox& out_;
  StoreClient& store_;
  const settings::Platform& platform_;
  AskCounts ask_;
  UnfinishedJobCache view_;
  recovery::StateReplica& replica_;
  std::function<bool(Ms)> sure_, heard_;
  // `known`: it was in this node's copy when the store was asked.
  void unknown(Ms now, std::uint64_t request, bool known);
  bool may_be_new(Ms now, std::uint64_t request, bool known);
  void publish_unfinished(const std::string& id, const wire::UnfinishedJob& record);
  void publish_outcome(const std::string& id, const wire::JobOutcome& record);
  std::vector<wire::MachineType> types_;
  std::unordered_map<std::string, std::vector<std::uint64_t>>
      outcome_requests_;  // requests that wait, by job
  std::unordered_map<std::string, wire::JobOutcome> outcomes_;
  std::deque<std::string> outcome_order_;
};

}  // namespace hitchfront::core
