// Reads jobs' final states from the store for user polls. Concurrent polls of one job share a read.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "api/job_records.hpp"
#include "kv/store_client.hpp"

namespace hitchfront::core {

struct OutcomeRead {
  enum class Result { found, missing, failed };
  Result result = Result::failed;
  wire::JobOutcome outcome;  // if found
  bool was_known = false;    // as passed to read() by the first poll
};

class OutcomeReads {
 public:
  using OnRead = std::function<void(Ms now, const OutcomeRead& read)>;
  OutcomeReads(StoreClient& store, JobRecords& records) : store_(store), records_(records) {}

  // Whether a poll of this job would need another read, and the maximum number is in flight.
  bool is_full_for(const std::string& id) const;
  // `was_known`: this node's replica held the job when the poll queried the cache of unfinished
  // jobs. The read is completed even if the user has disconnected: its result is cached for the
  // next poll.
  void read(Ms now, const std::string& id, bool was_known, OnRead on_read);

 private:
  void respond(Ms now, const std::string& id, const OutcomeRead& read);

  StoreClient& store_;
  JobRecords& records_;
  std::unordered_map<std::string, std::vector<OnRead>> pending_;  // by job id
};

}  // namespace hitchfront::core
