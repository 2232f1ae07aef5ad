// Replication of cancellations: which of them each controller knows of, so that a leader that can't
// read the store goes on only while it knows each one that any controller may have acknowledged to
// a user. docs/safety.md, "Every cancellation that was told". Pure: time comes in.
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

// How far the list of cancellations of a controller's process was taken in.
struct ReplicationPosition {
  std::uint64_t process = 0, sequence_number = 0;
  bool operator==(const ReplicationPosition&) const = default;
};

// A part of a process's list of cancellations, sent with a vote abstention: those numbered above
// `from` up to `to`, of `newest` in all.
struct CancellationBatch {
  std::uint64_t process = 0;
  // The process has read all unfinished jobs since its start, or has acknowledged nothing else.
  bool read_all = false;
  std::uint64_t from = 0, to = 0, newest = 0;
  std::vector<std::string> jobs;
  bool operator==(const CancellationBatch&) const = default;
};

// The list of this process: jobs known here to be cancelled and not yet over, numbered from 1 in
// the order in which they became known.
class CancellationLog {
 public:
  // Called by add() with each job that was not known.
  std::function<void(const std::string& job)> on_added;
  // False: it was known already.
  bool add(const std::string& job);
  void remove(const std::string& job);  // it is over
  [[nodiscard]] bool contains(const std::string& job) const {
    return sequence_numbers_.contains(job);
  }
  [[nodiscard]] std::size_t size() const { return sequence_numbers_.size(); }
  // A part of the list, of at most `most` bytes of names and one job at the least. The caller fills
  // in the process and what it has read.
  [[nodiscard]] CancellationBatch batch_after(std::uint64_t from, std::size_t max_bytes) const;

  // The leader of this term has taken in what is numbered up to `number`.
  void acknowledge(std::uint64_t term, std::uint64_t sequence_number);
  // The newest leader that is known has taken it in.
  [[nodiscard]] bool is_acknowledged(const std::string& job) const;

 private:
  std::map<std::uint64_t, std::string> jobs_;
  std::unordered_map<std::string, std::uint64_t> sequence_numbers_;
  std::uint64_t newest_ = 0;
  std::uint64_t term_ = 0, acknowledged_ = 0;
};

// The leader's side: since when the whole list of each other controller is known.
class ReplicationTracker {
 public:
  explicit ReplicationTracker(const std::vector<std::string>& peers);
  void begin();  // a new term: nothing is known
  // How far the list of `node` was taken in, to be sent with the next request.
  [[nodiscard]] ReplicationPosition position(const std::string& node) const;
  // One part of a cancellation batch, asked for at `asked`; the abstention with it stands until
  // `until`, both by this clock. Its jobs are taken in by the caller, before.
  void record_batch(Ms now, Ms requested_at, Ms valid_until, const std::string& node,
                    const CancellationBatch& batch);
  // Every cancellation that another controller acknowledged to a user before this is known here.
  // INT64_MIN: the whole list of some controller is not known.
  [[nodiscard]] Ms known_as_of() const;
  // Names of controllers whose list is not known as of then, with commas: for the log.
  [[nodiscard]] std::string lagging_peers(Ms as_of) const;

 private:
  struct Peer {
    ReplicationPosition position;
    bool earlier_processes_covered =
        false;                // nothing that an earlier process of it acknowledged is missing
    std::optional<Ms> as_of;  // its whole list is known as of then
    // Of the abstention that came with the last whole list: until then it acknowledges nothing
    // else.
    Ms abstention_valid_until = 0;
  };
  std::map<std::string, Peer> peers_;
};

}  // namespace hitchfront::cancellation
