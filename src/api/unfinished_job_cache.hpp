// A node's cache of the unfinished jobs' states, for user polls. One read of the store answers all
// polls that arrived before it was sent; a read never answers a poll that arrived later.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kv/store_client.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {

class UnfinishedJobCache {
 public:
  struct Job {
    bool cancelled = false,
         may_have_launched = false;  // the launch watermark is not 0
    bool has_launched = false;       // tasks were launched, or were about to be
    std::uint64_t version = 0;
    std::vector<std::string> dependencies;
  };
  // The job as of the last read; null if it was not among the unfinished jobs.
  const Job* find(const std::string& id) const;
  // `store_answered` is false if the read failed; ignore `job` in that case. Otherwise `job` is
  // null if there is no unfinished job with this id.
  using OnJobRead = std::function<void(Ms now, bool store_answered, const Job* job)>;

  explicit UnfinishedJobCache(StoreClient& store) : store_(store) {}
  // Called for each record that is read, including versions that were read before a reload.
  std::function<void(const std::string& job, const nlohmann::json& value,
                     const wire::UnfinishedJob& record, std::uint64_t version)>
      on_record;
  // Discards the cached state and the results of reads in flight.
  void invalidate();
  // Called after each complete read: the cache holds everything stored before `read_sent_at`.
  std::function<void(Ms read_sent_at)> on_refreshed;
  // Called when a job's record was deleted, which means that the job has a final state.
  std::function<void(const std::string& job)> on_outcome;

  // Calls back with the job's state as of some instant after this call.
  void query(Ms now, std::string id, OnJobRead on_job_read);
  void tick(Ms now) { read_if_due(now); }
  std::size_t pending_polls() const { return queued_polls_.size() + in_flight_polls_.size(); }

 private:
  using Poll = std::pair<std::string, OnJobRead>;
  void read_if_due(Ms now);
  void load_page(Ms now, const std::string& after);
  void apply(const std::string& key, bool deleted, const nlohmann::json& value,
             std::uint64_t version);
  void complete_read(Ms now, bool store_answered);

  StoreClient& store_;
  std::unordered_map<std::string, Job> jobs_;
  std::uint64_t revision_ = 0;    // of the store, up to which all changes are applied
  std::uint64_t read_epoch_ = 0;  // incremented by invalidate()
  bool loaded_ = false, read_in_progress_ = false;
  Ms next_read_at_ = 0, read_sent_at_ = 0;  // read_sent_at_: of the last read
  std::vector<Poll> queued_polls_;          // wait for the next read
  std::vector<Poll> in_flight_polls_;       // answered by the read in flight
};

}  // namespace hitchfront::core
