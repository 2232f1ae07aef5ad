// Keeps this node's replica of the stored state (recovery/state_replica.hpp) up to date, and
// detects data loss from inconsistent reads. Unfinished jobs come from the reads that answer
// users' polls. Progress and outcomes are read here, every kReplicaSyncIntervalMs at the lowest
// rank. Runs on the core's thread.
#pragma once
#include "kv/store_client.hpp"
#include "recovery/state_replica.hpp"

namespace hitchfront::core {

class ReplicaSync {
 public:
  explicit ReplicaSync(StoreClient& store);

  // Called when a read shows that the store has lost data: an outcome has disappeared, or a key's
  // version is lower than before.
  std::function<void(Ms now)> on_data_loss_detected;
  // Called every kTickIntervalMs, except while a data loss is being recovered.
  void tick(Ms now);
  // Records the version of a key that any read has returned. The key with the newest version is
  // read again every kReplicaSyncIntervalMs: see verify_newest().
  void record_version(const std::string& key, std::uint64_t version);
  // To be called when the store has lost data or has been recovered: discards the known revisions
  // and versions, and ignores responses to pending requests. Keeps the replica.
  void restart();
  recovery::StateReplica& replica() { return replica_; }
  [[nodiscard]] const recovery::StateReplica& replica() const { return replica_; }

 private:
  // Reads the keys with one prefix: first all of them, page by page, and then only changes.
  struct PrefixReader {
    std::string prefix;
    std::string last_key;        // of the pages read so far; empty once all are loaded
    std::uint64_t revision = 0;  // store revision up to which changes have been read
    bool loaded = false;
    bool request_pending = false;
    Ms next_read_at = 0;
    void restart();  // from the first page
  };
  // The key with the highest version that this node has read.
  struct NewestKey {
    std::string key;
    std::uint64_t version = 0;
    bool request_pending = false;
  };
  enum class Removal : std::uint8_t { never, possible };  // whether a key may be deleted

  void read(Ms now, PrefixReader& reader);
  void load_page(Ms now, PrefixReader& reader);
  void read_changes(Ms now, PrefixReader& reader);
  void apply(const std::string& key, const nlohmann::json& value, std::uint64_t version);
  void verify_newest(Ms now);
  void verify(Ms now, NewestKey& newest, Removal removal);

  StoreClient& store_;
  recovery::StateReplica replica_;
  std::array<PrefixReader, 2> readers_;  // of progress and of outcomes
  std::uint64_t epoch_ = 0;  // counts restart() calls; responses to earlier requests are dropped
  NewestKey newest_outcome_, newest_other_;
  Ms next_verify_at_ = 0;
};

}  // namespace hitchfront::core
