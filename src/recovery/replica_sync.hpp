// Keeps this node's replica of the stored state (recovery/state_replica.hpp) up to date, and
// watches for contradictions that show a data loss. Unfinished jobs come from the reads by which
// users' polls are answered; progress and final states come from two readings of their own a
// second, below everything else in rank. Runs on the core's thread.
#pragma once
#include "kv/store_client.hpp"
#include "recovery/state_replica.hpp"

namespace hitchfront::core {

class ReplicaSync {
 public:
  explicit ReplicaSync(StoreClient& store);

  // The store contradicts what it held: a final state that stood there is gone, or a key is older
  // than it was. The store has lost data.
  std::function<void(Ms now)> on_contradiction;
  // Each kTickIntervalMs, while no data loss is being recovered.
  void tick(Ms now);
  // A key as it stood in the store, by whatever read. The newest of them is read again each
  // kReplicaSyncIntervalMs: see verify_newest().
  void saw(const std::string& key, std::uint64_t version);
  // The store has lost data, or was recovered: its revisions and versions begin anew, and answers
  // that are on their way no longer count. The replica itself stays.
  void forget();
  recovery::StateReplica& replica() { return replica_; }
  [[nodiscard]] const recovery::StateReplica& replica() const { return replica_; }

 private:
  // One prefix: all its keys in pages first, and then what changes.
  struct Reading {
    std::string prefix;
    std::string after;           // while it is loaded: the last key of the pages so far
    std::uint64_t revision = 0;  // of the store, up to which changes are known
    bool loaded = false;
    bool open = false;  // an answer is awaited
    Ms next = 0;        // the next read, at the earliest
    void restart();     // from the first page
  };
  // The newest version of a key that this node has seen.
  struct NewestKey {
    std::string key;
    std::uint64_t version = 0;
    bool open = false;  // an answer is awaited
  };
  enum class Removal : std::uint8_t { never, possible };  // whether keys of a kind are removed

  void read(Ms now, Reading& reading);
  void load_page(Ms now, Reading& reading);
  void read_changes(Ms now, Reading& reading);
  void merge(const std::string& key, const nlohmann::json& value, std::uint64_t version);
  void verify_newest(Ms now);
  void verify(Ms now, NewestKey& newest, Removal removal);

  StoreClient& store_;
  recovery::StateReplica replica_;
  std::array<Reading, 2> readings_;  // of progress, and of final states
  std::uint64_t epoch_ = 0;          // counts forget(): answers to earlier questions are dropped
  NewestKey newest_outcome_, newest_other_;
  Ms verify_at_ = 0;
};

}  // namespace hitchfront::core
