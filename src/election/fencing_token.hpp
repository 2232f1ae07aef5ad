// Fencing tokens and attempt numbers of a term.
//
// A worker refuses commands with a lower token than the highest that it has received. A term owns a
// block of tokens and is named by the last of them. Its leader raises the token step by step, for
// each machine by itself; each step is an epoch of the commands to that machine. Once the machine
// has received a token, it refuses everything that was sent to it in earlier epochs, also another
// copy of a command that it has executed before. The term is stored before the first token of its
// block is sent, so each later leader, of any version, uses higher tokens.
// docs/safety.md, "Direct launches", has the argument.
#pragma once
#include <cstdint>

#include "settings/constants.hpp"

namespace hitchfront::election {

using CommandEpoch = std::uint64_t;

inline constexpr CommandEpoch kLastCommandEpoch = settings::kFencingTokensPerTerm - 1;

// The lowest term whose tokens are all higher than `known`, the highest term or token that is
// known, and than any token of the term that `known` belongs to.
constexpr std::uint64_t next_term(std::uint64_t known) {
  using settings::kFencingTokensPerTerm;
  const auto blocks = (known + kFencingTokensPerTerm - 1) / kFencingTokensPerTerm;
  return (blocks + 1) * kFencingTokensPerTerm;
}

// The token of an epoch. `term` is a result of next_term().
constexpr std::uint64_t fencing_token(std::uint64_t term, CommandEpoch epoch) {
  return term - kLastCommandEpoch + epoch;
}

// Whether the token belongs to the term.
constexpr bool is_token_of(std::uint64_t term, std::uint64_t token) {
  return token >= fencing_token(term, 0) && token <= term;
}

// The epoch of a token that belongs to the term.
constexpr CommandEpoch epoch_of(std::uint64_t term, std::uint64_t token) {
  return token - fencing_token(term, 0);
}

// The high bits of a term's attempt numbers. Versions without epochs use the term itself. Before
// the first epoch their terms are below kFirstAttemptPrefix, and afterwards above the prefixes of
// all terms so far.
constexpr std::uint64_t attempt_prefix(std::uint64_t term) {
  return settings::kFirstAttemptPrefix + term / settings::kFencingTokensPerTerm;
}

// The number of the attempt that the leader of the term launches as its `sequence`th.
constexpr std::uint64_t attempt_number(std::uint64_t term, std::uint64_t sequence) {
  return attempt_prefix(term) << settings::kAttemptSequenceBits | sequence;
}

// Whether the attempt was launched by the leader of the term.
constexpr bool is_attempt_of(std::uint64_t term, std::uint64_t attempt) {
  return attempt >> settings::kAttemptSequenceBits == attempt_prefix(term);
}

}  // namespace hitchfront::election
