// The settings file provided by the platform (JSON).
#pragma once
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::settings {

// Stands for a limit that is 0 or missing in the file (DEPLOY: "0 means none"). Infinity needs no
// special case in sums and comparisons.
inline constexpr double kNoLimit = std::numeric_limits<double>::infinity();

struct Team {
  std::string name;
  double cpus = 0, cpus_max = kNoLimit, gpus = 0, gpus_max = kNoLimit;  // guaranteed and maximum
};
// A service-level objective.
struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0, times = 1;
};
// Another controller.
struct Peer {
  std::string node, zone, addr;
};

// Limits of the key-value store.
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
  // The lower of the current limits and the announced ones (`state.next`), which may take effect at
  // any time.
  StoreLimits store;
  double cloud_rps = 0, cloud_list_lag_s = 0;
  double cores = 0, memory_mb = 0;
  int max_connections = 0;
  double time_bound_ms = 0;
};

// How old a leader's knowledge of cancellations may be when it answers a heartbeat. The response
// renews the worker's lease, and that lease must expire within cancel_s of any cancellation that
// the leader does not know of.
std::int64_t max_cancellation_staleness_ms(const Platform& platform);

struct LoadedPlatform {
  Platform platform;
  // Each starts with the path of its field. The platform may be used only if there are none.
  std::vector<std::string> problems;
};
LoadedPlatform parse_platform(std::string_view text);
LoadedPlatform load_platform(const std::string& path);

}  // namespace hitchfront::settings
