// Replication of cancellations between controllers. A leader that cannot read the store may act
// only while it knows every cancellation that any controller may have acknowledged to a user.
// docs/safety.md, "Every cancellation that was told". No I/O; time is passed in.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hitchfront::cancellation {

using Ms = std::int64_t;  // steady time in milliseconds

// The position up to which the leader has received the cancellation log of a controller's process.
struct ReplicationPosition {
  std::uint64_t process = 0, sequence_number = 0;
  bool operator==(const ReplicationPosition&) const = default;
};

// A part of the cancellation log of a process, sent with a vote abstention: the entries after
// sequence number `from`, up to and including `to`.
struct CancellationBatch {
  std::uint64_t process = 0;
  // Whether the process has read all unfinished jobs since its start. Its log then also covers what
  // previous processes of the node have acknowledged.
  bool read_all = false;
  std::uint64_t from = 0, to = 0, newest = 0;  // `newest`: the last sequence number in the log
  std::vector<std::string> jobs;
  bool operator==(const CancellationBatch&) const = default;
};

// The cancellation log of this process: the unfinished jobs that it knows to be cancelled, with
// sequence numbers from 1 in the order in which it learned of them.
class CancellationLog {
 public:
  // Called by add() for each new entry.
  std::function<void(const std::string& job)> on_added;
  // Returns false if the job is already in the log.
  bool add(const std::string& job);
  void remove(const std::string& job);  // called when the job has ended
  [[nodiscard]] bool contains(const std::string& job) const {
    return sequence_numbers_.contains(job);
  }
  [[nodiscard]] std::size_t size() const { return sequence_numbers_.size(); }
  // The entries after sequence number `from`: as many as fit `max_bytes` of names, but at least one
  // if there is any. The caller sets `process` and `read_all`.
  [[nodiscard]] CancellationBatch batch_after(std::uint64_t from, std::size_t max_bytes) const;

  // Records that the leader of `term` has received the log up to `sequence_number`.
  void acknowledge(std::uint64_t term, std::uint64_t sequence_number);
  // Whether the newest known leader has received this job's cancellation.
  [[nodiscard]] bool is_acknowledged(const std::string& job) const;

 private:
  std::map<std::uint64_t, std::string> jobs_;                        // by sequence number
  std::unordered_map<std::string, std::uint64_t> sequence_numbers_;  // by job
  std::uint64_t newest_ = 0;                                         // last sequence number
  std::uint64_t term_ = 0, acknowledged_ = 0;                        // of acknowledge()
};

// Used by the leader: tracks as of when it knows the complete cancellation log of each peer.
class ReplicationTracker {
 public:
  explicit ReplicationTracker(const std::vector<std::string>& peers);
  // Called when this node is elected. Discards all positions.
  void begin();
  // The position reached in the log of `node`, to be sent with the next abstention request.
  [[nodiscard]] ReplicationPosition position(const std::string& node) const;
  // Records a batch, whose jobs the caller has already added to its own log. `requested_at` and
  // `valid_until` are those of the accompanying abstention, by this node's clock.
  void record_batch(Ms now, Ms requested_at, Ms valid_until, const std::string& node,
                    const CancellationBatch& batch);
  // Every cancellation that a peer acknowledged to a user before this instant is known here.
  // INT64_MIN if the complete log of some peer is not known, or there are no peers.
  [[nodiscard]] Ms known_as_of() const;
  // The peers whose complete log is not known as of that instant, comma-separated.
  [[nodiscard]] std::string lagging_peers(Ms as_of) const;

 private:
  struct Peer {
    ReplicationPosition position;
    // Whether everything that previous processes of the peer acknowledged is known.
    bool earlier_processes_covered = false;
    std::optional<Ms> known_as_of;  // its complete log is known as of this instant
    // Validity of the abstention that accompanied the last complete log. Until then the peer
    // acknowledges no cancellation that the leader does not know.
    Ms abstention_valid_until = 0;
  };
  std::map<std::string, Peer> peers_;
};

}  // namespace hitchfront::cancellation
