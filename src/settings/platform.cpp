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

class Reader {
 public:
  Reader(const json& o, std::string path, std::vector<std::string>& problems)
      : o_(o), path_(std::move(path)), problems_(problems) {}

  std::string text(const char* field) {
    const json* v = find(field);
    if (v == nullptr) return {};
    if (!v->is_string() || v->get_ref<const std::string&>().empty()) {
      bad(field, "must be a string that is not empty");
      return {};
    }
    return v->get<std::string>();
  }
  std::string address(const char* field) {
    auto s = text(field);
    if (s.empty()) return s;
    const auto colon = s.rfind(':');
    int port = 0;
    if (colon != std::string::npos) {
      const auto [p, ec] = std::from_chars(s.data() + colon + 1, s.data() + s.size(), port);
      if (ec != std::errc() || p != s.data() + s.size()) port = 0;
    }
    if (colon == 0 || port < 1 || port > 65535) bad(field, "must be ADDRESS:PORT");
    return s;
  }
  double number(const char* field, double least, double most = 1e12) {
    const json* v = find(field);
    if (v == nullptr) return least;
    if (!v->is_number()) {
      bad(field, "must be a number");
      return least;
    }
    const double d = v->get<double>();
    if (!std::isfinite(d) || d < least || d > most) {
      bad(field, "is out of range");
      return least;
    }
    return d;
  }
  int count(const char* field, int least, int most) {
    const double d = number(field, least, most);
    if (d != std::floor(d)) bad(field, "must be a whole number");
    return static_cast<int>(d);
  }
  Reader object(const char* field) {
    static const json empty = json::object();
    const json* v = find(field);
    if (v != nullptr && !v->is_object()) {
      bad(field, "must be an object");
      v = nullptr;
    }
    Reader r(v != nullptr ? *v : empty, path_ + field + ".", problems_);
    r.muted_ = v == nullptr;  // the missing parent is one problem, not one for each field
    return r;
  }
  template <class F>
  void list(const char* field, F each) {
    const json* v = find(field);
    if (v == nullptr) return;
    if (!v->is_array()) return bad(field, "must be a list");
    std::size_t i = 0;
    for (const auto& item : *v) {
      const auto where = path_ + field + "[" + std::to_string(i++) + "]";
      if (!item.is_object()) {
        problems_.push_back(where + ": must be an object");
        continue;
      }
      each(Reader(item, where + ".", problems_));
    }
  }
  std::vector<std::string> texts(const char* field) {
    std::vector<std::string> out;
    const json* v = find(field);
    if (v == nullptr) return out;
    if (!v->is_array()) {
      bad(field, "must be a list");
      return out;
    }
    for (const auto& s : *v) {
      if (s.is_string())
        out.push_back(s.get<std::string>());
      else
        bad(field, "must hold strings");
    }
    return out;
  }
  bool has(const char* field) const { return o_.contains(field) && !o_[field].is_null(); }
  void bad(const char* field, const char* what) {
    if (!muted_) problems_.push_back(path_ + field + ": " + what);
  }

 private:
  const json* find(const char* field) {
    auto it = o_.find(field);
    if (it == o_.end() || it->is_null()) {
      bad(field, "is missing");
      return nullptr;
    }
    return &*it;
  }
  const json& o_;
  std::string path_;
  std::vector<std::string>& problems_;
  bool muted_ = false;
};

constexpr double kLeastRate = 1;     // requests or writes a second
constexpr double kLeastValueKb = 1;  // below it a job's description does not fit
constexpr int kLeastChanges =
    4;  // of one transaction: the most that a takeover or a switch of levels needs
constexpr int kMostChanges = 1'000'000;

// Today's limits, lowered to those under `next`, each of which may be missing there. None may be
// above today's.
StoreLimits read_store_limits(Reader& state) {
  StoreLimits limits;
  limits.requests_per_s = state.number("rps", kLeastRate);
  limits.writes_per_s = state.number("write_rps", kLeastRate);
  limits.value_kb = state.number("value_kb", kLeastValueKb);
  limits.transaction_changes = state.count("txn_ops", kLeastChanges, kMostChanges);
  if (!state.has("next")) return limits;
  Reader next = state.object("next");
  const auto lower = [&next](const char* field, double& limit, double least) {
    if (!next.has(field)) return;
    const double later = next.number(field, least);
    if (later > limit) return next.bad(field, "is above today's limit");
    limit = later;
  };
  lower("rps", limits.requests_per_s, kLeastRate);
  lower("write_rps", limits.writes_per_s, kLeastRate);
  lower("value_kb", limits.value_kb, kLeastValueKb);
  if (next.has("txn_ops")) {
    const int later = next.count("txn_ops", kLeastChanges, kMostChanges);
    if (later > limits.transaction_changes)
      next.bad("txn_ops", "is above today's limit");
    else
      limits.transaction_changes = later;
  }
  return limits;
}

}  // namespace

Loaded parse_platform(std::string_view text) {
  Loaded out;
  json o = json::parse(text, nullptr, false);
  if (!o.is_object()) {
    out.problems.push_back(o.is_discarded() ? "the file is not JSON" : "the file is not an object");
    return out;
  }
  auto& p = out.platform;
  Reader r(o, "", out.problems);
  p.node = r.text("node");
  p.zone = r.text("area");
  p.client_listen = r.address("client_listen");
  p.peer_listen = r.address("peer_listen");
  std::set<std::string> names{p.node};
  r.list("known", [&](Reader k) {
    Peer peer{k.text("node"), k.text("area"), k.address("endpoint")};
    if (!names.insert(peer.node).second) k.bad("node", "names a node twice");
    p.peers.push_back(peer);
  });
  auto services = r.object("services");
  p.cloud_addr = services.address("cloud");
  p.state_addr = services.address("state");
  auto params = r.object("params");
  p.nodes = params.count("nodes", 1, 1000);
  p.zones = params.texts("zones");
  std::set<std::string> teams;
  params.list("teams", [&](Reader t) {
    Team team;
    team.name = t.text("name");
    // A best-effort team comes with nothing but its name, or with zeros: no guarantee, and no limit
    // either.
    const auto amount = [&](const char* field) { return t.has(field) ? t.number(field, 0) : 0.0; };
    const auto limit = [&](const char* field) {
      const double most = amount(field);
      return most > 0 ? most : kNoLimit;
    };
    team.cpus = amount("cpus");
    team.cpus_max = limit("cpus_max");
    team.gpus = amount("gpus");
    team.gpus_max = limit("gpus_max");
    if (team.cpus > team.cpus_max) t.bad("cpus", "is above cpus_max");
    if (team.gpus > team.gpus_max) t.bad("gpus", "is above gpus_max");
    if (!teams.insert(team.name).second) t.bad("name", "names a team twice");
    p.teams.push_back(team);
  });
  if (params.has("objectives"))
    params.list("objectives", [&](Reader t) {
      Objective ob;
      ob.kind = t.text("kind");
      if (t.has("class")) ob.job_class = t.text("class");
      if (t.has("within_s")) ob.within_s = t.number("within_s", 0);
      if (t.has("share")) ob.share = t.number("share", 0, 1);
      if (t.has("times")) ob.times = t.number("times", 0);
      p.objectives.push_back(ob);
    });
  auto w = params.object("workers");
  p.heartbeat_s = w.number("report_s", 0.01);
  p.lease_s = w.number("lease_s", 1);
  p.cancel_s = w.number("cancel_s", 1);
  auto s = params.object("state");
  p.store = read_store_limits(s);
  auto c = params.object("cloud");
  p.cloud_rps = c.number("rps", 0.01);
  p.cloud_list_lag_s = c.number("list_lag_s", 0);
  auto l = params.object("resources");
  p.cores = l.number("cores", 0.001);
  p.memory_mb = l.number("memory_mb", 1);
  p.max_connections = l.count("max_connections", 16, 10'000'000);
  p.time_bound_ms = params.number("time_bound_ms", 0);
  // A cancelled task must be gone in time even when the leader never hears of the cancellation and
  // the task's machine can't be reached: the leader acts on until its lease is over, and the task
  // ends with its worker's.
  if (out.problems.empty() && cancellation_blind_ms(p) < kLeaderLeaseTtlMs)
    out.problems.push_back(
        "params.workers.cancel_s: is too short for lease_s and the leader's lease");
  return out;
}

std::int64_t cancellation_blind_ms(const Platform& p) {
  return static_cast<std::int64_t>((p.cancel_s * (1 - 2 * kMaxClockDriftShare) -
                                    p.lease_s * (1 + 2 * kMaxClockDriftShare)) *
                                   1000) -
         kLeaseExpiryMarginMs - kLeaderLeaseMarginMs;
}

Loaded load_platform(const std::string& path) {
  std::ifstream in(path);
  if (!in) return {{}, {"the file can't be read"}};
  std::stringstream text;
  text << in.rdbuf();
  return parse_platform(text.str());
}

}  // namespace hitchfront::settings
