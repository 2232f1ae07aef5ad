// Which cancellations the controllers know of, so that a leader that can't read the store goes on
// only while it knows each that any controller may have told a user. docs/safety.md, "Every
// cancellation that was told". Pure: time comes in.
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

// A process and how far its list of cancellations was taken in.
struct ReplicationPosition {
  std::uint64_t process = 0, number = 0;
  bool operator==(const ReplicationPosition&) const = default;
};

// What an abstention vouches with: the cancellations numbered above `from` up to `to`, of `newest`
// in all.
struct CancellationBatch {
  std::uint64_t process = 0;
  bool read_all =
      false;  // the process has read all unfinished jobs since its start, or has told nothing else
  std::uint64_t from = 0, to = 0, newest = 0;
  std::vector<std::string> jobs;
  bool operator==(const CancellationBatch&) const = default;
};

// Jobs known here to be cancelled and not yet over, numbered in the order in which they became
// known.
class CancellationLog {
 public:
  std::function<void(const std::string& job)> on_added;
  // False: it was known already.
  bool add(const std::string& job);
  void remove(const std::string& job);
  bool contains(const std::string& job) const { return numbers_.contains(job); }
  std::size_t size() const { return numbers_.size(); }
  // A part of the list of at most so many bytes of names, one job at the least.
  CancellationBatch after(std::uint64_t from, std::size_t most) const;

  // The leader of this term has taken in what is numbered up to here.
  void acknowledge(std::uint64_t term, std::uint64_t number);
  bool is_acknowledged(const std::string& job) const;

 private:
  std::map<std::uint64_t, std::string> jobs_;
  std::unordered_map<std::string, std::uint64_t> numbers_;
  std::uint64_t newest_ = 0;
  std::uint64_t term_ = 0, acknowledged_ = 0;
};

// The leader's side: since when each other controller's list is known whole.
class ReplicationTracker {
 public:
  explicit ReplicationTracker(const std::vector<std::string>& others);
  void begin();  // a new term: nothing is known
  ReplicationPosition position(const std::string& node) const;
  // One part of a cancellation batch, asked for at `asked`; the abstention with it stands until
  // `until`, both by this clock. Its jobs are taken in by the caller, before.
  void record_batch(Ms now, Ms asked, Ms until, const std::string& node,
                    const CancellationBatch& batch);
  // Every cancellation told by another controller before this is known here. INT64_MIN: some
  // controller has not replicated.
  Ms known_since() const;
  std::string missing(Ms since) const;  // names, whose list is not known as of then, with commas

 private:
  struct Other {
    ReplicationPosition position;
    bool covered = false;  // nothing that an earlier process of this controller told is missing
    std::optional<Ms> since;
    Ms abstention_bound_until = 0;  // of the abstention that came with the last whole list: until
                                    // then nothing else is told there
  };
  std::map<std::string, Other> others_;
};

}  // namespace hitchfront::cancellation
