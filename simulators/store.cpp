#include "simulators/store.hpp"

#include <algorithm>

namespace hitchfront::simulators {
using nlohmann::json;
namespace {

Response malformed() {
  return {400, R"({"error":"malformed"})"};
}
Response refused() {
  return {503, R"({"error":"trouble"})"};
}

}  // namespace

std::string query(const std::string& path, const std::string& name) {
  const auto q = path.find('?');
  if (q == std::string::npos) return {};
  std::size_t at = q + 1;
  while (at < path.size()) {
    auto end = path.find('&', at);
    if (end == std::string::npos) end = path.size();
    if (path.compare(at, name.size() + 1, name + "=") == 0)
      return path.substr(at + name.size() + 1, end - at - name.size() - 1);
    at = end + 1;
  }
  return {};
}

const json* Store::value(const std::string& key) const {
  auto it = items_.find(key);
  return it == items_.end() ? nullptr : &it->second.value;
}

void Store::each(const std::string& prefix,
                 const std::function<void(const std::string&, const json&)>& visit) const {
  for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix);
       ++it)
    visit(it->first, it->second.value);
}

void Store::handle(std::int64_t now, const std::string& method, const std::string& path,
                   const std::string& body, Answer answer) {
  if (path.starts_with("/watch")) {
    const auto hold = query(path, "HoldMs");
    Watch w{query(path, "Under"), std::stoull("0" + query(path, "After")),
            now + (hold.empty() ? 0 : std::stoll(hold)), std::move(answer)};
    if (outage_) return w.answer(refused());
    if (!answer_watch(w, w.until <= now)) watches_.push_back(std::move(w));
    return;
  }
  if (outage_) return answer(refused());
  if (path == "/txn" && method == "POST") {
    auto r = txn(body);
    answer(r);
    if (r.status == 200) changed();
    return;
  }
  if (path.starts_with("/holds")) {
    answer(lease_call(now, method, path, body));
    changed();
    return;
  }
  if (path.starts_with("/store") && method == "GET") return answer(read(path));
  answer(malformed());
}

std::shared_ptr<const Store::Kept> Store::keep() const {
  return std::make_shared<Kept>(Kept{items_, leases_, log_, forgotten_, revision_, next_lease_});
}

void Store::put_back(std::int64_t now, const Kept& k) {
  items_ = k.items;
  leases_ = k.leases;
  log_ = k.log;
  forgotten_ = k.forgotten;
  revision_ = k.revision;
  next_lease_ = k.next_lease;
  for (auto& [id, l] : leases_) l.until = now + l.ttl;
  watches_.clear();  // their connections went with the service
}

void Store::lose_all(std::int64_t now) {
  put_back(now, {});
}

Response Store::read(const std::string& path) const {
  if (path.starts_with("/store/")) {
    const auto key = path.substr(7);
    auto it = items_.find(key);
    if (it == items_.end()) return {404, json{{"LedgerRev", revision_}}.dump()};
    json o = {{"K", key}, {"V", it->second.value}, {"Stamp", it->second.version}};
    if (it->second.lease != 0) o["Tenancy"] = it->second.lease;
    return {200, o.dump()};
  }
  const auto prefix = query(path, "Under"), after = query(path, "After"),
             page = query(path, "Page");
  const std::size_t most = std::min<std::size_t>(page.empty() ? 1000 : std::stoul(page), 1000);
  json entries = json::array();
  bool more = false;
  for (auto it = after.empty() ? items_.lower_bound(prefix)
                               : items_.upper_bound(std::max(after, prefix));
       it != items_.end() && it->first.starts_with(prefix); ++it) {
    if (entries.size() == most) {
      more = true;
      break;
    }
    entries.push_back({{"K", it->first}, {"V", it->second.value}, {"Stamp", it->second.version}});
  }
  return {200, json{{"Entries", entries}, {"Truncated", more}, {"LedgerRev", revision_}}.dump()};
}

Response Store::txn(const std::string& body) {
  const json transaction = json::parse(body, nullptr, false);
  if (!transaction.is_object()) return malformed();
  const json conditions = transaction.value("If", json::array());
  const json changes = transaction.value("Then", json::array());
  if (const auto refused = refusal(changes)) return *refused;
  const json failed = failed_conditions(conditions);
  if (!failed.empty()) return {409, json{{"failed", failed}, {"LedgerRev", revision_}}.dump()};
  if (!changes.empty()) ++revision_;
  for (const auto& change : changes) carry_out(change);
  return {200, json{{"LedgerRev", revision_}}.dump()};
}

std::optional<Response> Store::refusal(const json& changes) {
  if (static_cast<int>(changes.size()) > txn_ops) {
    ++too_large;
    return Response{400, R"({"error":"too many changes"})"};
  }
  for (const auto& change : changes)
    if (change.contains("V") && change["V"].dump().size() > value_bytes) {
      ++too_large;
      return Response{400, R"({"error":"value too large"})"};
    }
  for (const auto& change : changes) {
    const auto lease = change.value("Tenancy", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease))
      return Response{400, R"({"error":"no such lease"})"};
  }
  return std::nullopt;
}

json Store::failed_conditions(const json& conditions) const {
  json failed = json::array();
  for (const auto& condition : conditions) {
    const auto it = items_.find(condition.at("K").get<std::string>());
    const auto version = it == items_.end() ? 0 : it->second.version;
    if (version != condition.at("Stamp").get<std::uint64_t>()) failed.push_back(condition.at("K"));
  }
  return failed;
}

void Store::carry_out(const json& change) {
  const bool sets = change.contains("Set");
  const auto key = (sets ? change["Set"] : change.at("Drop")).get<std::string>();
  ++changes_;
  ++written_[key.substr(0, key.find('/') + 1)];
  if (!sets) {
    if (items_.erase(key) > 0) log_.push_back({revision_, key, true, nullptr});
    return;
  }
  const auto& value = change.at("V");
  items_[key] = {value, revision_, change.value("Tenancy", std::uint64_t{0})};
  log_.push_back({revision_, key, false, value});
  if (on_set) on_set(key, value);
}

std::size_t Store::written(const std::string& prefix) const {
  const auto it = written_.find(prefix);
  return it == written_.end() ? 0 : it->second;
}

Response Store::lease_call(std::int64_t now, const std::string& method, const std::string& path,
                           const std::string& body) {
  if (path == "/holds") {
    const json o = json::parse(body, nullptr, false);
    if (!o.is_object() || !o.contains("LifeMs")) return malformed();
    const auto id = next_lease_++;
    const auto ttl = o["LifeMs"].get<std::int64_t>();
    leases_[id] = {ttl, now + ttl};
    return {200, json{{"Tenancy", id}}.dump()};
  }
  const auto id = std::stoull("0" + path.substr(std::string("/holds/").size()));
  auto it = leases_.find(id);
  if (it == leases_.end()) return {404, R"({"error":"no such lease"})"};
  if (method == "DELETE") {
    it->second.until = now - 1;
    tick(now);
  } else {
    it->second.until = now + it->second.ttl;
  }
  return {200, "{}"};
}

void Store::set_outage(std::int64_t now, bool outage) {
  if (outage_ && !outage)
    for (auto& [id, l] : leases_) l.until = now + l.ttl;  // every lease has its full time again
  outage_ = outage;
  if (!outage) changed();
}

void Store::tick(std::int64_t now) {
  if (outage_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now <= it->second.until) {
      ++it;
      continue;
    }
    const auto lease = it->first;
    it = leases_.erase(it);
    ++revision_;
    for (auto i = items_.begin(); i != items_.end();) {
      if (i->second.lease != lease) {
        ++i;
        continue;
      }
      log_.push_back({revision_, i->first, true, nullptr});
      i = items_.erase(i);
    }
  }
  changed();
  for (std::size_t i = 0; i < watches_.size();) {
    if (now < watches_[i].until) {
      ++i;
      continue;
    }
    auto w = std::move(watches_[i]);
    watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
    answer_watch(w, true);
  }
}

bool Store::answer_watch(Watch& w, bool expired) {
  while (log_.size() > kKept) {
    forgotten_ = log_.front().revision;
    log_.pop_front();
  }
  if (w.after < forgotten_) {
    w.answer({410, json{{"LedgerRev", revision_}}.dump()});
    return true;
  }
  json events = json::array();
  const auto from =
      std::upper_bound(log_.begin(), log_.end(), w.after,
                       [](std::uint64_t after, const Change& c) { return after < c.revision; });
  for (auto at = from; at != log_.end(); ++at) {
    const auto& c = *at;
    if (!c.key.starts_with(w.prefix)) continue;
    if (c.deleted)
      events.push_back({{"Drop", c.key}, {"Stamp", c.revision}});
    else
      events.push_back({{"Set", c.key}, {"V", c.value}, {"Stamp", c.revision}});
  }
  if (events.empty() && !expired) return false;
  w.answer({200, json{{"LedgerRev", revision_}, {"Events", events}}.dump()});
  return true;
}

void Store::changed() {
  if (outage_) return;
  // Answers may open new watches: work on what was open before.
  auto open = std::exchange(watches_, {});
  std::vector<Watch> still;
  for (auto& w : open)
    if (!answer_watch(w, false)) still.push_back(std::move(w));
  for (auto& w : watches_) still.push_back(std::move(w));
  watches_ = std::move(still);
}

}  // namespace hitchfront::simulators
