// A simulator for the cloud, after its published protocol.
#pragma once
#include <map>
#include <random>
#include <string>
#include <vector>

#include "simulators/store.hpp"
#include "wire/cloud.hpp"

namespace hitchfront::simulators {

class Cloud {
 public:
  struct Machine {
    wire::ListedMachine listed;
    std::int64_t rented = 0, up_at = 0;
  };
  Cloud(std::vector<wire::MachineType> types, std::uint64_t seed, std::int64_t list_lag_ms)
      : types_(std::move(types)), random_(seed), list_lag_ms_(list_lag_ms) {}

  Response handle(std::int64_t now, const std::string& method, const std::string& path,
                  const std::string& body);
  void tick(std::int64_t now);
  std::string scale_out(std::int64_t now, const std::string& type, const std::string& zone,
                        bool spot);
  void take(std::int64_t now, const std::string& name);

  std::function<void(const Machine&)> on_up;
  std::function<void(const std::string&)> on_gone;
  std::function<std::string(const std::string& name)> addr_of = [](const std::string& n) {
    return n + ":9000";
  };
  std::map<std::string, int> capacity;  // "type/zone/spot" -> machines; missing: none
  double never_up = 0;                  // share of machines that stay booting
  double boot_factor = 1;               // on the time that machines take to come up
  bool outage = false;
  const std::map<std::string, Machine>& machines() const { return machines_; }
  const std::vector<wire::MachineType>& types() const { return types_; }

 private:
  std::vector<wire::MachineType> types_;
  std::mt19937_64 random_;
  std::int64_t list_lag_ms_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> rented_;  // request -> answer
  std::map<std::int64_t, std::vector<wire::ListedMachine>> past_;
  int next_ = 1;
};

}  // namespace hitchfront::simulators
