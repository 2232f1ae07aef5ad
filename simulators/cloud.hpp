// A simulator for the cloud, after its published protocol: machines are rented, take their time to
// come up, are listed late, and are released or taken away. Time comes in, in milliseconds.
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
    std::int64_t rented_at = 0;
    std::int64_t up_at = 0;
  };
  // `list_lag_ms`: how old the list of machines that it answers with is on average.
  Cloud(std::vector<wire::MachineType> types, std::uint64_t seed, std::int64_t list_lag_ms)
      : types_(std::move(types)), random_(seed), list_lag_ms_(list_lag_ms) {}

  // A request of a controller.
  Response handle(std::int64_t now, const std::string& method, const std::string& path,
                  const std::string& body);
  // Machines come up.
  void tick(std::int64_t now);
  // Rents a machine and returns its name; empty: there is no capacity.
  std::string scale_out(std::int64_t now, const std::string& type, const std::string& zone,
                        bool spot);
  // The machine is gone: released, or taken away without notice.
  void take(std::int64_t now, const std::string& name);

  std::function<void(const Machine&)> on_up;
  std::function<void(const std::string& name)> on_gone;
  // The address at which a machine takes commands; empty: at none.
  std::function<std::string(const std::string& name)> addr_of = [](const std::string& n) {
    return n + ":9000";
  };
  std::map<std::string, int> capacity;  // "type/zone/spot" -> machines; missing: none
  double never_up = 0;                  // share of machines that stay booting
  double boot_factor = 1;               // on the time that machines take to come up
  bool outage = false;                  // every request is refused
  const std::map<std::string, Machine>& machines() const { return machines_; }
  const std::vector<wire::MachineType>& types() const { return types_; }

 private:
  Response rent(std::int64_t now, const std::string& body);
  Response release(std::int64_t now, const std::string& body);
  Response list(std::int64_t now, const std::string& path);
  // The list as it was so long ago; none: nothing is known of that time.
  const std::vector<wire::ListedMachine>* listed_at(std::int64_t when) const;

  std::vector<wire::MachineType> types_;
  std::mt19937_64 random_;
  std::int64_t list_lag_ms_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::string> rented_;  // name of a rental -> its answer
  // Lists of the machines, by the moment at which they were true.
  std::map<std::int64_t, std::vector<wire::ListedMachine>> past_;
  int next_ = 1;
};

}  // namespace hitchfront::simulators
