// The settings file that the platform hands over (JSON).
#pragma once
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::settings {

// A limit that the platform gives as 0, or not at all, is none (DEPLOY: "0 means none"). Infinity
// says so in every sum and comparison, so that no user of a limit has to remember what 0 stood for.
inline constexpr double kNoLimit = std::numeric_limits<double>::infinity();

struct Team {
  std::string name;
  double cpus = 0, cpus_max = kNoLimit, gpus = 0, gpus_max = kNoLimit;  // guarantees and limits
};
struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0, times = 1;
};
struct Peer {
  std::string node, zone, addr;
};

// What the state service allows.
struct StoreLimits {
  double requests_per_s = 0;
  double writes_per_s = 0;  // puts and deletes
  double value_kb = 0;
  int transaction_changes = 0;  // puts and deletes in one transaction
  std::size_t value_bytes() const { return static_cast<std::size_t>(value_kb * 1024); }
};

struct Platform {
  std::string node, zone, client_listen, peer_listen;
  std::vector<Peer> peers;
  std::string cloud_addr, state_addr;
  int nodes = 1;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_s = 0, lease_s = 0, cancel_s = 0;
  // In force for everything that this program writes: of today's limits and those announced for
  // later (`state.next`), which come without notice, the smaller ones.
  StoreLimits store;
  double cloud_rps = 0, cloud_list_lag_s = 0;
  double cores = 0, memory_mb = 0;
  int max_connections = 0;
  double time_bound_ms = 0;
};

// ms for which machines may be answered without knowledge of what is cancelled meanwhile: the
// answer renews a worker's lease, and with that lease cancel_s must not be over. Below what a
// leader needs, the settings are refused.
std::int64_t cancellation_blind_ms(const Platform& p);

struct Loaded {
  Platform platform;
  std::vector<std::string> problems;  // each names its field; empty: usable
};
Loaded parse_platform(std::string_view text);
Loaded load_platform(const std::string& path);

}  // namespace hitchfront::settings
