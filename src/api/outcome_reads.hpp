// Reads of final states for users' polls: polls that ask for the same job share one.
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
  wire::JobOutcome outcome;       // where it was found
  bool known_when_asked = false;  // this node knew the job when the first poll asked
};

class OutcomeReads {
 public:
  using OnRead = std::function<void(Ms now, const OutcomeRead& read)>;
  OutcomeReads(StoreClient& store, JobRecords& records) : store_(store), records_(records) {}

  // Whether a poll for this job would need a read of its own while as many as may are under way.
  bool is_full_for(const std::string& id) const;
  // What was asked is read even if whoever asked has given up: the next poll finds it remembered.
  void read(Ms now, const std::string& id, bool known, OnRead on_read);

 private:
  void respond(Ms now, const std::string& id, const OutcomeRead& read);

  StoreClient& store_;
  JobRecords& records_;
  std::unordered_map<std::string, std::vector<OnRead>> waiting_;  // by job
};

}  // namespace hitchfront::core
