// The machine types, zones and offers of the cloud. Maps the names of types, zones and images to
// small indices. Does no I/O.
#pragma once
#include <string>
#include <unordered_map>
#include <vector>

#include "machines/machine.hpp"
#include "portfolio/replay.hpp"
#include "wire/cloud.hpp"

namespace hitchfront::core {

class MachineCatalog {
 public:
  // `zones`: the names in the settings.
  explicit MachineCatalog(std::vector<std::string> zones) : zones_(std::move(zones)) {}

  // Adds or updates the cloud's types and prices. A known type keeps its index, also when it is
  // missing from `types`.
  void update(const std::vector<wire::MachineType>& types);
  bool empty() const { return types_.empty(); }

  // -1 if the name is unknown.
  int type_index(const std::string& name) const;
  int zone_index(const std::string& name) const;
  // The image's index, which never changes; an unknown image gets a new one.
  int image_index(const std::string& name);

  const std::vector<wire::MachineType>& types() const { return types_; }
  const wire::MachineType& type(int index) const { return types_[static_cast<std::size_t>(index)]; }
  const std::string& zone(int index) const { return zones_[static_cast<std::size_t>(index)]; }
  std::size_t zone_count() const { return zones_.size(); }
  std::vector<std::string> type_names() const;
  // Bit i is set if `names` contains type i. Without `names` the bits of all types are set. Types
  // beyond 64 have no bit.
  std::uint64_t type_mask(const std::optional<std::vector<std::string>>& names) const;
  // Current price per hour.
  double price_of(const Machine& machine) const;
  // type/zone/kind for log lines, where kind is "spot" or "ordinary".
  std::string describe(int type_index, int zone_index, bool spot) const;

  const std::vector<portfolio::Offer>& offers() const { return offers_; }
  // Called when the cloud has no capacity for the offer, or rejected it. Until then nothing of it
  // is requested.
  void block_offer(std::size_t offer, Ms until) { blocked_until_[offer] = until; }
  bool is_blocked(std::size_t offer, Ms now) const { return now < blocked_until_[offer]; }

 private:
  void update_offer(int type_index, int zone, bool spot);

  std::vector<wire::MachineType> types_;
  std::vector<std::string> zones_;
  std::unordered_map<std::string, int> images_;
  std::vector<portfolio::Offer> offers_;
  std::vector<Ms> blocked_until_;  // by offer
};

}  // namespace hitchfront::core
