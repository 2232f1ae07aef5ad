// Vote abstentions: when the store is unreachable for longer than the leader's lease lasts, the
// leader keeps its leadership for as long as every other controller abstains, that is, does not
// contend for it.
//
// An abstention is valid for a bounded time and needs no synchronized clocks: the leader counts its
// validity from before it sent the request, the voter from its response, and both allow for clock
// drift, so that the leader's period always ends first. No I/O; time is passed in. docs/safety.md
// has the argument.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/request_ids.hpp"

namespace hitchfront::election {

using Ms = std::int64_t;  // steady time in milliseconds

// An abstention that the leader has received. Times are by the leader's clock.
struct VoteAbstention {
  Ms requested_at = 0;
  Ms valid_until = 0;
};

class VoteAbstentions {
 public:
  // `voters`: all other controllers. Empty if the settings do not name all of them: abstentions are
  // then disabled, because a controller that is not named could be elected. `request_ids` numbers
  // the rounds, so that an abstention given to an earlier process of this node does not count; it
  // must outlive this object.
  VoteAbstentions(std::vector<std::string> voters, membership::RequestIds& request_ids);
  [[nodiscard]] bool enabled() const { return !voters_.empty(); }

  // --- abstentions received as leader ---

  // Starts a round of requests, which must not be sent before `now`. Returns its number.
  [[nodiscard]] std::uint64_t begin_round(Ms now);
  // Records the response of `node` to a round. Empty if the round is unknown or too old. The caller
  // must still hold its lease: after a gap another node may have been elected.
  [[nodiscard]] std::optional<VoteAbstention> record(const std::string& node, std::uint64_t round);
  [[nodiscard]] bool any_recorded() const { return !valid_until_.empty(); }
  // The end of the period in which every voter abstains; 0 if a voter has not responded.
  [[nodiscard]] Ms all_abstain_until() const;
  // Called when the leader's lease has been renewed and the abstentions are no longer needed.
  // Rounds are kept, so that responses in flight are still recorded.
  void clear_recorded() { valid_until_.clear(); }

  // --- abstentions given as voter ---

  // Called when this process starts. A previous process of this node may have abstained just
  // before, which is not stored.
  void start(Ms now) { started_at_ = now; }
  // Abstains for the full validity period from `now`.
  void abstain(Ms now);
  // The end of this process's abstention; 0 if it has given none.
  [[nodiscard]] Ms abstaining_until() const { return abstaining_until_; }
  // The latest time at which an abstention of this process or a previous one can end.
  [[nodiscard]] Ms latest_expiry() const;

 private:
  std::vector<std::string> voters_;
  membership::RequestIds& request_ids_;
  std::map<std::uint64_t, Ms> rounds_;     // recent rounds: number -> start
  std::map<std::string, Ms> valid_until_;  // by voter
  Ms started_at_ = 0, abstaining_until_ = 0;
};

}  // namespace hitchfront::election
