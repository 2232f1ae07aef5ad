#include "settings/platform.hpp"

#include <charconv>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "settings/constants.hpp"

namespace hitchfront::settings {
using nlohmann::json;
namespace {

class ObjectReader {
 public:
  ObjectReader(const json& document, std::string path, std::vector<std::string>& problems)
      : object_(document), path_(std::move(path)), problems_(problems) {}

  std::string text(const char* field) {
    const json* v = find(field);
    if (v == nullptr) return {};
    if (!v->is_string() || v->get_ref<const std::string&>().empty()) {
      add_problem(field, "must be a non-empty string");
      return {};
    }
    return v->get<std::string>();
  }
  std::string address(const char* field) {
    auto address = text(field);
    if (address.empty()) return address;
    const auto colon = address.rfind(':');
    int port = 0;
    if (colon != std::string::npos) {
      const auto [end, error] =
          std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
      if (error != std::errc() || end != address.data() + address.size()) port = 0;
    }
    if (colon == 0 || port < 1 || port > 65535) add_problem(field, "must be ADDRESS:PORT");
    return address;
  }
  double number(const char* field, double min, double max = 1e12) {
    const json* v = find(field);
    if (v == nullptr) return min;
    if (!v->is_number()) {
      add_problem(field, "must be a number");
      return min;
    }
    const double d = v->get<double>();
    if (!std::isfinite(d) || d < min || d > max) {
      add_problem(field, "is out of range");
      return min;
    }
    return d;
  }
  int count(const char* field, int min, int max) {
    const double d = number(field, min, max);
    if (d != std::floor(d)) add_problem(field, "must be a whole number");
    return static_cast<int>(d);
  }
  ObjectReader object(const char* field) {
    static const json empty = json::object();
    const json* v = find(field);
    if (v != nullptr && !v->is_object()) {
      add_problem(field, "must be an object");
      v = nullptr;
    }
    ObjectReader reader(v != nullptr ? *v : empty, path_ + field + ".", problems_);
    // A missing object is reported once and not again for each of its fields.
    reader.suppress_problems_ = v == nullptr;
    return reader;
  }
  template <class F>
  void list(const char* field, F read_item) {
    const json* v = find(field);
    if (v == nullptr) return;
    if (!v->is_array()) return add_problem(field, "must be a list");
    std::size_t i = 0;
    for (const auto& item : *v) {
      const auto where = path_ + field + "[" + std::to_string(i++) + "]";
      if (!item.is_object()) {
        problems_.push_back(where + ": must be an object");
        continue;
      }
      read_item(ObjectReader(item, where + ".", problems_));
    }
  }
  std::vector<std::string> strings(const char* field) {
    std::vector<std::string> out;
    const json* v = find(field);
    if (v == nullptr) return out;
    if (!v->is_array()) {
      add_problem(field, "must be a list");
      return out;
    }
    for (const auto& item : *v) {
      if (item.is_string())
        out.push_back(item.get<std::string>());
      else
        add_problem(field, "must contain only strings");
    }
    return out;
  }
  bool has(const char* field) const { return object_.contains(field) && !object_[field].is_null(); }
  void add_problem(const char* field, const char* problem) {
    if (!suppress_problems_) problems_.push_back(path_ + field + ": " + problem);
  }

 private:
  const json* find(const char* field) {
    auto it = object_.find(field);
    if (it == object_.end() || it->is_null()) {
      add_problem(field, "is missing");
      return nullptr;
    }
    return &*it;
  }
  const json& object_;
  std::string path_;
  std::vector<std::string>& problems_;
  bool suppress_problems_ = false;
};

constexpr double kMinRatePerS = 1;
constexpr double kMinValueKb = 1;  // a job's specification must fit
// The largest transaction of a leader takeover or a feature level change.
constexpr int kMinTransactionChanges = 4;
constexpr int kMaxTransactionChanges = 1'000'000;

// The current limits, lowered to the announced ones in `next`. Any limit may be missing in `next`,
// but none may exceed the current one.
StoreLimits read_store_limits(ObjectReader& state) {
  StoreLimits limits;
  limits.requests_per_s = state.number("rps", kMinRatePerS);
  limits.writes_per_s = state.number("write_rps", kMinRatePerS);
  limits.value_kb = state.number("value_kb", kMinValueKb);
  limits.transaction_changes =
      state.count("txn_ops", kMinTransactionChanges, kMaxTransactionChanges);
  if (!state.has("next")) return limits;
  ObjectReader next = state.object("next");
  const auto lower = [&next](const char* field, double& limit, double min) {
    if (!next.has(field)) return;
    const double announced_limit = next.number(field, min);
    if (announced_limit > limit) return next.add_problem(field, "exceeds the current limit");
    limit = announced_limit;
  };
  lower("rps", limits.requests_per_s, kMinRatePerS);
  lower("write_rps", limits.writes_per_s, kMinRatePerS);
  lower("value_kb", limits.value_kb, kMinValueKb);
  if (next.has("txn_ops")) {
    const int announced_limit =
        next.count("txn_ops", kMinTransactionChanges, kMaxTransactionChanges);
    if (announced_limit > limits.transaction_changes)
      next.add_problem("txn_ops", "exceeds the current limit");
    else
      limits.transaction_changes = announced_limit;
  }
  return limits;
}

}  // namespace

LoadedPlatform parse_platform(std::string_view text) {
  LoadedPlatform out;
  json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    out.problems.push_back(document.is_discarded() ? "the file is not valid JSON"
                                                   : "the file is not a JSON object");
    return out;
  }
  auto& p = out.platform;
  ObjectReader root(document, "", out.problems);
  p.node = root.text("node");
  p.zone = root.text("area");
  p.client_listen = root.address("client_listen");
  p.peer_listen = root.address("peer_listen");
  std::set<std::string> names{p.node};
  root.list("known", [&](ObjectReader k) {
    Peer peer{k.text("node"), k.text("area"), k.address("endpoint")};
    if (!names.insert(peer.node).second) k.add_problem("node", "duplicate node name");
    p.peers.push_back(peer);
  });
  auto services = root.object("services");
  p.cloud_addr = services.address("cloud");
  p.state_addr = services.address("state");
  auto params = root.object("params");
  p.nodes = params.count("nodes", 1, 1000);
  p.zones = params.strings("zones");
  std::set<std::string> teams;
  params.list("teams", [&](ObjectReader t) {
    Team team;
    team.name = t.text("name");
    // A best-effort team has no guarantee and no limit: the fields are missing or 0.
    const auto amount = [&](const char* field) { return t.has(field) ? t.number(field, 0) : 0.0; };
    const auto limit = [&](const char* field) {
      const double max = amount(field);
      return max > 0 ? max : kNoLimit;
    };
    team.cpus = amount("cpus");
    team.cpus_max = limit("cpus_max");
    team.gpus = amount("gpus");
    team.gpus_max = limit("gpus_max");
    if (team.cpus > team.cpus_max) t.add_problem("cpus", "exceeds cpus_max");
    if (team.gpus > team.gpus_max) t.add_problem("gpus", "exceeds gpus_max");
    if (!teams.insert(team.name).second) t.add_problem("name", "duplicate team name");
    p.teams.push_back(team);
  });
  if (params.has("objectives"))
    params.list("objectives", [&](ObjectReader t) {
      Objective ob;
      ob.kind = t.text("kind");
      if (t.has("class")) ob.job_class = t.text("class");
      if (t.has("within_s")) ob.within_s = t.number("within_s", 0);
      if (t.has("share")) ob.share = t.number("share", 0, 1);
      if (t.has("times")) ob.times = t.number("times", 0);
      p.objectives.push_back(ob);
    });
  auto workers = params.object("workers");
  p.heartbeat_s = workers.number("report_s", 0.01);
  p.lease_s = workers.number("lease_s", 1);
  p.cancel_s = workers.number("cancel_s", 1);
  auto state = params.object("state");
  p.store = read_store_limits(state);
  auto cloud = params.object("cloud");
  p.cloud_rps = cloud.number("rps", 0.01);
  p.cloud_list_lag_s = cloud.number("list_lag_s", 0);
  auto resources = params.object("resources");
  p.cores = resources.number("cores", 0.001);
  p.memory_mb = resources.number("memory_mb", 1);
  p.max_connections = resources.count("max_connections", 16, 10'000'000);
  p.time_bound_ms = params.number("time_bound_ms", 0);
  // A cancelled task must end within cancel_s even if the leader can't learn of the cancellation
  // and the machine is unreachable: the leader may renew worker leases until its own lease expires,
  // and the task ends when the worker's lease expires.
  if (out.problems.empty() && max_cancellation_staleness_ms(p) < kLeaderLeaseTtlMs)
    out.problems.push_back(
        "params.workers.cancel_s: must exceed lease_s by the leader's lease and safety margins");
  return out;
}

std::int64_t max_cancellation_staleness_ms(const Platform& platform) {
  return static_cast<std::int64_t>((platform.cancel_s * (1 - 2 * kMaxClockDriftShare) -
                                    platform.lease_s * (1 + 2 * kMaxClockDriftShare)) *
                                   1000) -
         kLeaseExpiryMarginMs - kLeaderLeaseMarginMs;
}

LoadedPlatform load_platform(const std::string& path) {
  std::ifstream in(path);
  if (!in) return {{}, {"cannot read the file"}};
  std::stringstream text;
  text << in.rdbuf();
  return parse_platform(text.str());
}

}  // namespace hitchfront::settings
