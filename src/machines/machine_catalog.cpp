#include "machines/machine_catalog.hpp"

#include <algorithm>

namespace hitchfront::core {
namespace {

constexpr std::size_t kMaxTypesInMask = 64;

template <class Items, class Matches>
int find_index(const Items& items, Matches matches) {
  const auto it = std::find_if(items.begin(), items.end(), matches);
  return it == items.end() ? -1 : static_cast<int>(it - items.begin());
}

}  // namespace

int MachineCatalog::type_index(const std::string& name) const {
  return find_index(types_, [&](const wire::MachineType& type) { return type.name == name; });
}

int MachineCatalog::zone_index(const std::string& name) const {
  return find_index(zones_, [&](const std::string& zone) { return zone == name; });
}

int MachineCatalog::image_index(const std::string& name) {
  return images_.emplace(name, static_cast<int>(images_.size())).first->second;
}

std::vector<std::string> MachineCatalog::type_names() const {
  std::vector<std::string> names;
  for (const auto& type : types_) names.push_back(type.name);
  return names;
}

std::uint64_t MachineCatalog::type_mask(
    const std::optional<std::vector<std::string>>& names) const {
  std::uint64_t mask = 0;
  for (std::size_t i = 0; i < types_.size() && i < kMaxTypesInMask; ++i)
    if (!names || std::find(names->begin(), names->end(), types_[i].name) != names->end())
      mask |= 1ULL << i;
  return mask;
}

double MachineCatalog::price_of(const Machine& machine) const {
  const auto& machine_type = type(machine.type);
  return machine.spot ? machine_type.spot_price : machine_type.price;
}

std::string MachineCatalog::describe(int type_index, int zone_index, bool spot) const {
  return (type_index < 0 ? std::string("?") : type(type_index).name) + "/" +
         (zone_index < 0 ? std::string("?") : zone(zone_index)) + (spot ? "/spot" : "/ordinary");
}

void MachineCatalog::update(const std::vector<wire::MachineType>& types) {
  for (const auto& type : types) {
    const int i = type_index(type.name);
    if (i >= 0)
      types_[static_cast<std::size_t>(i)] = type;
    else
      types_.push_back(type);
  }
  for (std::size_t i = 0; i < types_.size(); ++i)
    for (const auto& name : types_[i].zones) {
      const int zone = zone_index(name);
      if (zone < 0) continue;
      for (const bool spot : {true, false}) update_offer(static_cast<int>(i), zone, spot);
    }
}

void MachineCatalog::update_offer(int type_index, int zone, bool spot) {
  const auto& machine_type = type(type_index);
  portfolio::Offer offer;
  offer.type = type_index;
  offer.zone = zone;
  offer.spot = spot;
  offer.size = {machine_type.cpus, machine_type.gpus, machine_type.memory_gb};
  offer.price = spot ? machine_type.spot_price : machine_type.price;
  offer.boot_s = machine_type.boot_s;
  offer.fetch_gb_per_s = machine_type.fetch_gb_per_s;
  const auto it = std::find_if(offers_.begin(), offers_.end(), [&](const auto& known) {
    return known.type == offer.type && known.zone == offer.zone && known.spot == offer.spot;
  });
  if (it != offers_.end()) {
    *it = offer;
    return;
  }
  offers_.push_back(offer);
  blocked_until_.push_back(0);
}

}  // namespace hitchfront::core
