#include "simulation/scenario.hpp"

namespace hitchfront::testing {

const std::string& zone_of_node(const Scenario& scenario, int node) {
  return scenario.zones[static_cast<std::size_t>(node) % scenario.zones.size()];
}

void isolate_controller(Scenario& scenario, int node, std::int64_t from, std::int64_t to,
                        bool hold) {
  const auto name = "node-" + std::to_string(node);
  scenario.cuts.push_back({from, to, name, "state", hold});
  for (int other = 0; other < scenario.nodes; ++other)
    if (other != node)
      scenario.cuts.push_back({from, to, name, "node-" + std::to_string(other), hold});
}

settings::Platform test_platform(int nodes, const std::vector<std::string>& zones) {
  settings::Platform p;
  p.node = "node-0";
  p.zone = zones.front();
  p.client_listen = "127.0.0.1:1";
  p.peer_listen = "127.0.0.1:2";
  p.nodes = nodes;
  p.zones = zones;
  p.teams = {{"red", 12, 24}, {"blue", 12, 32}, {"guest"}};
  p.heartbeat_s = 2;
  p.lease_s = 12;
  p.cancel_s = 30;
  p.store.requests_per_s = 300;
  p.store.writes_per_s = 80;
  p.store.value_kb = 8;
  p.store.transaction_changes = 12;
  p.cloud_rps = 4;
  p.cloud_list_lag_s = 8;
  p.cores = 0.1;
  p.memory_mb = 72;
  p.max_connections = 1000;
  p.time_bound_ms = 20;
  return p;
}

settings::StoreLimits test_next_limits(settings::StoreLimits today) {
  today.value_kb = 1;
  today.transaction_changes = 8;
  return today;
}

}  // namespace hitchfront::testing
