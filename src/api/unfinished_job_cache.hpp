// A node's copy of the unfinished jobs' states, for users' polls: one read of the store answers
// every poll that came before that read was sent.
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
         may_have_launched = false;  // marked: tasks of it may have been launched
    bool surely_launched = false;    // and some surely were, or were about to be
    std::uint64_t version = 0;
    std::vector<std::string> awaits;
  };
  // As of the last read; null: no unfinished job that has been read has the id.
  const Job* find(const std::string& id) const;
  // `known` is false where the store could not be asked. `job` is null where no unfinished job has
  // the id.
  using Answer = std::function<void(Ms now, bool known, const Job* job)>;

  explicit UnfinishedJobCache(StoreClient& store) : store_(store) {}
  // Every record as it is read, also those that were read before.
  std::function<void(const std::string& job, const nlohmann::json& value,
                     const wire::UnfinishedJob& record, std::uint64_t stamp)>
      on_record;
  void forget();  // what was read is not the truth any more
  // Everything stored before `asked` has been read.
  std::function<void(Ms asked)> on_read_all;
  std::function<void(const std::string& job)>
      on_outcome;  // its record is gone: it has a final state

  // Answers with the job's state at some instant after this call.
  void ask(Ms now, std::string id, Answer answer);
  void tick(Ms now) { read(now); }
  std::size_t waiting() const { return waiting_.size() + covered_.size(); }

 private:
  using Poll = std::pair<std::string, Answer>;
  void read(Ms now);
  void load(Ms now, const std::string& after);
  void apply(const std::string& key, bool deleted, const nlohmann::json& value,
             std::uint64_t version);
  void answer(Ms now, bool known);

  StoreClient& store_;
  std::unordered_map<std::string, Job> jobs_;
  std::uint64_t revision_ = 0;  // the copy holds every change up to here
  std::uint64_t epoch_ = 0;     // of what was read
  bool loaded_ = false, reading_ = false;
  Ms next_read_ = 0, asked_ = 0;  // asked_: when the read in flight was sent
  std::vector<Poll> waiting_;     // came after the read in flight was sent
  std::vector<Poll> covered_;     // came before it
};

}  // namespace hitchfront::core
