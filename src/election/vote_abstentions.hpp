// Vote abstentions: while the store is unreachable for longer than the leader's lease, the leader
// may go on for as long as every other controller has promised not to contend for leadership.
//
// An abstention is bounded in time and needs no common clock: the leader counts it from before its
// request was sent, the voter from when it answered, and both allow for the drift of their clocks,
// so that the leader's count always ends first. Pure: time comes in, nothing is sent from here.
// docs/safety.md has the argument.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hitchfront::election {

using Ms = std::int64_t;  // steady time in milliseconds

// An abstention that the leader may count, by the leader's clock.
struct VoteAbstention {
  Ms requested_at = 0;
  Ms valid_until = 0;
};

class VoteAbstentions {
 public:
  // `voters`: all other controllers. Empty, where the settings don't name them all: somebody who is
  // not asked could take over, and abstentions are not used.
  explicit VoteAbstentions(std::vector<std::string> voters);
  [[nodiscard]] bool enabled() const { return !voters_.empty(); }

  // The leader's side: what the others have promised.

  // Begins a round of requests, sent at `now` or later; returns its number.
  [[nodiscard]] std::uint64_t begin_round(Ms now);
  // Counts the answer of `node` to a round. Nothing: the round is unknown, or too long ago. The
  // caller checks that it may still act: after a gap another node may have taken over.
  [[nodiscard]] std::optional<VoteAbstention> record(const std::string& node, std::uint64_t round);
  [[nodiscard]] bool any_recorded() const { return !valid_until_.empty(); }
  // Until when every voter abstains; 0: not all of them have answered.
  [[nodiscard]] Ms all_abstain_until() const;
  // The leader's lease runs again: none of the recorded abstentions is needed. Rounds go on, and
  // answers that are on their way still count.
  void clear_recorded() { valid_until_.clear(); }

  // The voter's side: what this node has promised.

  // This process begins. What the one before it on this node has promised is not known, and may
  // stand for the full bound from here.
  void start(Ms now) { started_at_ = now; }
  // From now on this node does not contend until the bound is over.
  void abstain(Ms now);
  // Until when this process abstains; 0: it does not.
  [[nodiscard]] Ms abstaining_until() const { return abstaining_until_; }
  // The same, with whatever an earlier process of this node may have promised.
  [[nodiscard]] Ms latest_expiry() const;

 private:
  std::vector<std::string> voters_;
  std::map<std::uint64_t, Ms> rounds_;        // the newest: number -> when its requests were sent
  std::uint64_t newest_round_ = 0;            // 0: none was begun
  std::map<std::string, Ms> valid_until_;     // by voter
  Ms started_at_ = 0, abstaining_until_ = 0;  // of this node as a voter
};

}  // namespace hitchfront::election
