// Keeps this node's copy of the stored state (recovery/state_replica.hpp) up to date: unfinished
// jobs come from the reads by which users' polls are answered, progress and final states from two
// readings of their own a second.
#pragma once
#include "kv/store_client.hpp"
#include "recovery/state_replica.hpp"

namespace hitchfront::core {

class ReplicaSync {
 public:
  explicit ReplicaSync(StoreClient& store);

  std::function<void(Ms)> on_contradiction;  // a final state that stood in the store is not there
  void tick(Ms now);                         // while the stored state has an identity
  // A key as it stood in the store. The newest is read again each second: see verify().
  void saw(const std::string& key, std::uint64_t stamp);
  void forget();  // where it stands in the store: it has lost something, or was rebuilt. The copy
                  // itself stays
  recovery::StateReplica& replica() { return replica_; }
  const recovery::StateReplica& replica() const { return replica_; }

 private:
  struct Reading {
    std::string prefix, after;  // after: the last key of the pages read so far, while it is loaded
    std::uint64_t revision = 0;
    bool loaded = false, open = false;
    Ms next = 0;
  };
  void read(Ms now, Reading& r);
  void load(Ms now, Reading& r);
  void take(const std::string& key, const nlohmann::json& value, std::uint64_t stamp);
  struct Newest {
    std::string key;
    std::uint64_t stamp = 0;
    bool open = false;
  };
  void verify(Ms now);
  void verify(Ms now, Newest& newest, bool stays);

  StoreClient& store_;
  recovery::StateReplica replica_;
  std::array<Reading, 2> readings_;
  std::uint64_t epoch_ = 0;
  Newest outcomes_, other_;  // by stamp: what a store that goes back loses first
  Ms verify_at_ = 0;
};

// prog/<job>/<chunk>
struct ProgressKey {
  std::string job;
  std::uint32_t chunk = 0;
};
std::optional<ProgressKey> parse_progress_key(const std::string& key);

}  // namespace hitchfront::core
