// What can be had from the cloud: machine types, zones, and the offers that follow from them. Names
// from outside get small indices here. Pure.
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
  // `zones`: as the settings name them.
  explicit MachineCatalog(std::vector<std::string> zones) : zones_(std::move(zones)) {}

  // Takes over the cloud's types and prices. A type once known keeps its index.
  void update(const std::vector<wire::MachineType>& types);
  bool empty() const { return types_.empty(); }

  // -1: not known.
  int type_index(const std::string& name) const;
  int zone_index(const std::string& name) const;
  // An image's index: its own for good, a new one where it is not known.
  int image_index(const std::string& name);

  const std::vector<wire::MachineType>& types() const { return types_; }
  const wire::MachineType& type(int index) const { return types_[static_cast<std::size_t>(index)]; }
  const std::string& zone(int index) const { return zones_[static_cast<std::size_t>(index)]; }
  std::size_t zones() const { return zones_.size(); }
  std::vector<std::string> type_names() const;
  // Bit i is set for each type i that is named; all types where `names` is none.
  std::uint64_t type_mask(const std::optional<std::vector<std::string>>& names) const;
  // Current price per hour.
  double price_of(const Machine& machine) const;
  // type/zone/kind, for the log.
  std::string describe(int type, int zone, bool spot) const;

  const std::vector<portfolio::Offer>& offers() const { return offers_; }
  // The cloud has none of it: not asked for again before `until`.
  void block_offer(std::size_t offer, Ms until) { blocked_until_[offer] = until; }
  bool is_blocked(std::size_t offer, Ms now) const { return now < blocked_until_[offer]; }

 private:
  void update_offer(int type, int zone, bool spot);

  std::vector<wire::MachineType> types_;
  std::vector<std::string> zones_;
  std::unordered_map<std::string, int> images_;
  std::vector<portfolio::Offer> offers_;
  std::vector<Ms> blocked_until_;  // by offer
};

}  // namespace hitchfront::core
