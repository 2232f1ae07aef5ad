// A stand-in for the state service, after PROTOCOL: transactions, leases, watches and rate limits.
#pragma once
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "http.hpp"

namespace review {

inline std::string query_value(const std::string& path, const std::string& name) {
  auto at = path.find('?');
  while (at != std::string::npos) {
    const auto end = path.find('&', at + 1);
    const auto pair = path.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
    at = end;
  }
  return {};
}

struct StoreLimits {
  double rps = 500, write_rps = 200;
  std::size_t value_bytes = 8 * 1024, txn_ops = 24;
};

class Store {
 public:
  using json = nlohmann::json;
  explicit Store(StoreLimits limits)
      : limits_(limits), requests_left_(limits.rps), writes_left_(limits.write_rps) {
    std::thread([this] {
      while (true) {
        sleep_ms(20);
        const std::lock_guard lock(mutex_);
        end_leases();
      }
    }).detach();
  }

  Reply handle(const Request& request) {
    std::unique_lock lock(mutex_);
    if (!take(requests_left_, 1)) return {429, R"({"error":"too many requests"})"};
    if (request.path == "/txn") return transact(request.body);
    if (request.path.starts_with("/holds")) return lease_call(request);
    if (request.path.starts_with("/watch")) return watch(lock, request.path);
    if (request.path.starts_with("/store/")) return read_one(request.path.substr(7));
    if (request.path.starts_with("/store")) return read_range(request.path);
    return {400, R"({"error":"malformed"})"};
  }

  bool has(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return items_.contains(key);
  }
  json value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto it = items_.find(key);
    return it == items_.end() ? json() : it->second.value;
  }
  void set_limits(const StoreLimits& limits) {
    const std::lock_guard lock(mutex_);
    limits_ = limits;
  }

 private:
  struct Item {
    json value;
    std::uint64_t stamp = 0, lease = 0;
  };
  struct Lease {
    std::int64_t life = 0, until = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    json event;
    std::string key;
  };

  // Bursts of one second's worth.
  bool take(double& left, double amount) {
    const auto now = now_ms();
    const double seconds = static_cast<double>(now - refilled_at_) / 1000;
    refilled_at_ = now;
    requests_left_ = std::min(limits_.rps, requests_left_ + seconds * limits_.rps);
    writes_left_ = std::min(limits_.write_rps, writes_left_ + seconds * limits_.write_rps);
    if (left < amount) return false;
    left -= amount;
    return true;
  }

  Reply transact(const std::string& body) {
    const auto transaction = json::parse(body, nullptr, false);
    if (!transaction.is_object() || body.size() > 64 * 1024)
      return {400, R"({"error":"malformed"})"};
    const auto conditions = transaction.value("If", json::array());
    const auto changes = transaction.value("Then", json::array());
    if (changes.size() > limits_.txn_ops || conditions.size() > 4 * limits_.txn_ops)
      return {400, R"({"error":"too many changes"})"};
    for (const auto& change : changes) {
      if (change.contains("V") && change["V"].dump().size() > limits_.value_bytes)
        return {400, R"({"error":"value too large"})"};
      const auto lease = change.value("Tenancy", std::uint64_t{0});
      if (lease != 0 && !leases_.contains(lease)) return {400, R"({"error":"no such lease"})"};
    }
    if (!take(writes_left_, static_cast<double>(changes.size())))
      return {429, R"({"error":"too many changes"})"};
    json failed = json::array();
    for (const auto& condition : conditions) {
      const auto it = items_.find(condition.at("K").get<std::string>());
      const auto stamp = it == items_.end() ? 0 : it->second.stamp;
      if (stamp != condition.at("Stamp").get<std::uint64_t>()) failed.push_back(condition["K"]);
    }
    if (!failed.empty()) return {409, json{{"failed", failed}, {"LedgerRev", revision_}}.dump()};
    if (!changes.empty()) ++revision_;
    for (const auto& change : changes) {
      if (change.contains("Set"))
        set(change.at("Set"), change.at("V"), change.value("Tenancy", std::uint64_t{0}));
      else
        drop(change.at("Drop"));
    }
    changed_.notify_all();
    return {200, json{{"LedgerRev", revision_}}.dump()};
  }

  void set(const std::string& key, const json& value, std::uint64_t lease) {
    items_[key] = {value, revision_, lease};
    log(key, {{"Set", key}, {"V", value}, {"Stamp", revision_}});
  }
  void drop(const std::string& key) {
    if (items_.erase(key) > 0) log(key, {{"Drop", key}, {"Stamp", revision_}});
  }
  void log(const std::string& key, json event) {
    constexpr std::size_t kKept = 10'000;
    log_.push_back({revision_, std::move(event), key});
    if (log_.size() <= kKept) return;
    forgotten_ = log_.front().revision;
    log_.pop_front();
  }

  Reply read_one(const std::string& key) {
    const auto it = items_.find(key);
    if (it == items_.end()) return {404, json{{"LedgerRev", revision_}}.dump()};
    json item = {{"K", key}, {"V", it->second.value}, {"Stamp", it->second.stamp}};
    if (it->second.lease != 0) item["Tenancy"] = it->second.lease;
    return {200, item.dump()};
  }

  Reply read_range(const std::string& path) {
    const auto prefix = query_value(path, "Under"), after = query_value(path, "After"),
               page = query_value(path, "Page");
    const std::size_t most = std::min<std::size_t>(1000, page.empty() ? 1000 : std::stoul(page));
    json entries = json::array();
    bool truncated = false;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix);
         ++it) {
      if (!after.empty() && it->first <= after) continue;
      if (entries.size() == most) {
        truncated = true;
        break;
      }
      entries.push_back({{"K", it->first}, {"V", it->second.value}, {"Stamp", it->second.stamp}});
    }
    return {200,
            json{{"Entries", entries}, {"Truncated", truncated}, {"LedgerRev", revision_}}.dump()};
  }

  Reply watch(std::unique_lock<std::mutex>& lock, const std::string& path) {
    const auto prefix = query_value(path, "Under");
    const auto after = std::stoull("0" + query_value(path, "After"));
    const auto until = now_ms() + std::stoll("0" + query_value(path, "HoldMs"));
    while (true) {
      if (after < forgotten_) return {410, json{{"LedgerRev", revision_}}.dump()};
      json events = json::array();
      for (const auto& change : log_)
        if (change.revision > after && change.key.starts_with(prefix))
          events.push_back(change.event);
      const auto left = until - now_ms();
      if (!events.empty() || left <= 0)
        return {200, json{{"LedgerRev", revision_}, {"Events", events}}.dump()};
      changed_.wait_for(lock, std::chrono::milliseconds(left));
    }
  }

  Reply lease_call(const Request& request) {
    if (request.path == "/holds") {
      const auto body = json::parse(request.body, nullptr, false);
      if (!body.is_object()) return {400, R"({"error":"malformed"})"};
      const auto life = body.at("LifeMs").get<std::int64_t>();
      leases_[++last_lease_] = {life, now_ms() + life};
      return {200, json{{"Tenancy", last_lease_}}.dump()};
    }
    const auto it = leases_.find(std::stoull("0" + request.path.substr(7)));
    if (it == leases_.end()) return {404, R"({"error":"no such lease"})"};
    if (request.method == "DELETE") {
      it->second.until = 0;
      end_leases();
    } else {
      it->second.until = now_ms() + it->second.life;
    }
    return {200, "{}"};
  }

  void end_leases() {
    const auto now = now_ms();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (now <= it->second.until) {
        ++it;
        continue;
      }
      const auto lease = it->first;
      it = leases_.erase(it);
      std::vector<std::string> keys;
      for (const auto& [key, item] : items_)
        if (item.lease == lease) keys.push_back(key);
      if (keys.empty()) continue;
      ++revision_;
      for (const auto& key : keys) drop(key);
      changed_.notify_all();
    }
  }

  StoreLimits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> log_;
  std::uint64_t revision_ = 0, last_lease_ = 0, forgotten_ = 0;
  double requests_left_, writes_left_;
  std::int64_t refilled_at_ = now_ms();
};

}  // namespace review
