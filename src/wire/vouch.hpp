// What a promise between controllers vouches with (vouching/), and what the leader has taken in of
// it, varint coded.
#pragma once
#include "vouching/vouching.hpp"

namespace hitchfront::wire {

std::string encode(const vouching::Vouch& vouch);
// Nothing: malformed, or from an earlier version, which vouches for nothing.
std::optional<vouching::Vouch> decode_vouch(std::string_view text);

}  // namespace hitchfront::wire
