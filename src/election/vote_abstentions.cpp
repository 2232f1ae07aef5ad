#include "election/vote_abstentions.hpp"

#include <algorithm>
#include <limits>

#include "settings/constants.hpp"

namespace hitchfront::election {
using namespace settings;
namespace {

// Responses to older rounds are ignored. A round starts with each peer heartbeat.
constexpr std::size_t kMaxTrackedRounds = 20;

// Validity for the leader, from its request: shortened by the drift of two clocks, and by the delay
// between the leader's check of its lease and the sending of a response.
constexpr Ms leader_validity_ms() {
  return static_cast<Ms>(static_cast<double>(kVoteAbstentionPeriodMs) *
                         (1 - 2 * kMaxClockDriftShare)) -
         kLeaderLeaseMarginMs;
}

// Validity for the voter, from its response: extended by the drift of two clocks and a margin.
constexpr Ms voter_validity_ms() {
  return static_cast<Ms>(static_cast<double>(kVoteAbstentionPeriodMs) *
                         (1 + 2 * kMaxClockDriftShare)) +
         kLeaseExpiryMarginMs;
}

}  // namespace

VoteAbstentions::VoteAbstentions(std::vector<std::string> voters,
                                 membership::RequestIds& request_ids)
    : voters_(std::move(voters)), request_ids_(request_ids) {}

std::uint64_t VoteAbstentions::begin_round(Ms now) {
  const auto round = request_ids_.next();
  rounds_[round] = now;
  while (rounds_.size() > kMaxTrackedRounds) rounds_.erase(rounds_.begin());
  return round;
}

std::optional<VoteAbstention> VoteAbstentions::record(const std::string& node,
                                                      std::uint64_t round) {
  const auto it = rounds_.find(round);
  if (it == rounds_.end()) return std::nullopt;
  // Counted from the start of the round, which precedes the voter's response.
  const VoteAbstention abstention{it->second, it->second + leader_validity_ms()};
  auto& valid_until = valid_until_[node];
  valid_until = std::max(valid_until, abstention.valid_until);
  return abstention;
}

Ms VoteAbstentions::all_abstain_until() const {
  if (!enabled() || valid_until_.size() < voters_.size()) return 0;
  Ms earliest = std::numeric_limits<Ms>::max();
  for (const auto& [node, valid_until] : valid_until_) earliest = std::min(earliest, valid_until);
  return earliest;
}

void VoteAbstentions::abstain(Ms now) {
  abstaining_until_ = now + voter_validity_ms();
}

Ms VoteAbstentions::latest_expiry() const {
  return std::max(abstaining_until_, started_at_ + voter_validity_ms());
}

}  // namespace hitchfront::election
