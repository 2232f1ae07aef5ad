#include "feature_level/data_loss_state.hpp"

#include <algorithm>

namespace hitchfront::feature_level {

void DataLossState::begin(Ms now, const wire::FeatureLevel& level) {
  lost_generation_ = std::max(lost_generation_, level.generation);
  if (lost_) return note_level_before(level);
  lost_ = true;
  lost_since_ = now;
  before_ = level;
}

void DataLossState::note_peer_generation(std::uint64_t generation) {
  peer_generation_ = std::max(peer_generation_, generation);
}

void DataLossState::note_level_before(const wire::FeatureLevel& level) {
  before_.low = std::min(before_.low, level.low);
  before_.high = std::max(before_.high, level.high);
  before_.active = std::max(before_.active, level.active);
  if (before_.store_incarnation.empty()) before_.store_incarnation = level.store_incarnation;
  before_.generation = std::max(before_.generation, level.generation);
}

wire::FeatureLevel DataLossState::recovered_level(const wire::FeatureLevel& stored,
                                                  const std::string& new_incarnation) const {
  auto level = before_;
  level.low = std::min(level.low, stored.low);
  level.high = std::max(level.high, stored.high);
  level.active = std::max(level.active, stored.active);
  level.generation =
      std::max({lost_generation_, level.generation, stored.generation, peer_generation_}) + 1;
  // Below the feature level that brings it the state had none; the recovered one is known by it.
  if (level.store_incarnation.empty()) level.store_incarnation = new_incarnation;
  return level;
}

}  // namespace hitchfront::feature_level
