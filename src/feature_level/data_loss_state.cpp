#include "feature_level/data_loss_state.hpp"

#include <algorithm>

namespace hitchfront::feature_level {

void DataLossState::begin(Ms now, const wire::FeatureLevel& level) {
  lost_generation_ = std::max(lost_generation_, level.generation);
  if (lost_) return merge_level_before_loss(level);
  lost_ = true;
  lost_since_ = now;
  level_before_loss_ = level;
}

void DataLossState::record_peer_generation(std::uint64_t generation) {
  peer_generation_ = std::max(peer_generation_, generation);
}

void DataLossState::merge_level_before_loss(const wire::FeatureLevel& level) {
  level_before_loss_.low = std::min(level_before_loss_.low, level.low);
  level_before_loss_.high = std::max(level_before_loss_.high, level.high);
  level_before_loss_.active = std::max(level_before_loss_.active, level.active);
  if (level_before_loss_.store_incarnation.empty())
    level_before_loss_.store_incarnation = level.store_incarnation;
  level_before_loss_.generation = std::max(level_before_loss_.generation, level.generation);
}

wire::FeatureLevel DataLossState::recovered_level(const wire::FeatureLevel& stored,
                                                  const std::string& new_incarnation) const {
  auto level = level_before_loss_;
  level.low = std::min(level.low, stored.low);
  level.high = std::max(level.high, stored.high);
  level.active = std::max(level.active, stored.active);
  level.generation =
      std::max({lost_generation_, level.generation, stored.generation, peer_generation_}) + 1;
  // Below kDataLossDetectionFeatureLevel the state has no incarnation; the recovered state needs
  // one.
  if (level.store_incarnation.empty()) level.store_incarnation = new_incarnation;
  return level;
}

}  // namespace hitchfront::feature_level
