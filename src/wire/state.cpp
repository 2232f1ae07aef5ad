#include "wire/state.hpp"

namespace hitchfront::wire {
using nlohmann::json;
namespace {

template <class F>
auto guarded(std::string_view body, F read) -> std::optional<decltype(read(json{}))> {
  json o = json::parse(body, nullptr, false);
  if (!o.is_object()) return std::nullopt;
  try {
    return read(std::move(o));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

Item read_item(json& o) {
  Item i;
  i.key = o.at("K").get<std::string>();
  i.value = std::move(o.at("V"));
  i.version = o.at("Stamp").get<std::uint64_t>();
  if (auto it = o.find("Tenancy"); it != o.end() && it->is_number_unsigned())
    i.lease = it->get<std::uint64_t>();
  return i;
}

}  // namespace

Txn& Txn::if_version(std::string key, std::uint64_t version) {
  if_.push_back({{"K", std::move(key)}, {"Stamp", version}});
  return *this;
}
Txn& Txn::put(std::string key, std::string_view value, std::uint64_t lease) {
  json o = {{"Set", std::move(key)}, {"V", json::parse(value)}};
  if (lease != 0) o["Tenancy"] = lease;
  then_.push_back(std::move(o));
  return *this;
}
Txn& Txn::put_text(std::string key, std::string text) {
  then_.push_back({{"Set", std::move(key)}, {"V", std::move(text)}});
  return *this;
}
Txn& Txn::drop(std::string key) {
  then_.push_back({{"Drop", std::move(key)}});
  return *this;
}
std::string Txn::body(std::string_view level_key, std::uint64_t version) const {
  json o = {{"If", if_}, {"Then", then_}};
  if (!level_key.empty()) o["If"].push_back({{"K", level_key}, {"Stamp", version}});
  return o.dump();
}

void Txn::each_prefix(const std::function<void(std::string_view)>& f) const {
  for (const auto& change : then_) {
    const auto it = change.contains("Set") ? change.find("Set") : change.find("Drop");
    const std::string_view key = it->get_ref<const std::string&>();
    f(key.substr(
        0, std::min(key.size(),
                    key.find('/') == std::string_view::npos ? key.size() : key.find('/') + 1)));
  }
}

std::string get_path(std::string_view key) {
  return "/store/" + std::string(key);
}
std::string range_path(std::string_view prefix, std::string_view after, std::uint32_t limit) {
  std::string p = "/store?Under=" + std::string(prefix);
  if (!after.empty()) p += "&After=" + std::string(after);
  return p + "&Page=" + std::to_string(limit);
}
std::string watch_path(std::string_view prefix, std::uint64_t after, std::uint32_t wait_ms) {
  return "/watch?Under=" + std::string(prefix) + "&After=" + std::to_string(after) +
         "&HoldMs=" + std::to_string(wait_ms);
}
std::string hold_body(std::uint32_t ttl_ms) {
  return json{{"LifeMs", ttl_ms}}.dump();
}
std::string touch_path(std::uint64_t lease) {
  return "/holds/" + std::to_string(lease) + "/touch";
}
std::string end_path(std::uint64_t lease) {
  return "/holds/" + std::to_string(lease);
}

std::optional<Item> parse_item(std::string_view body) {
  return guarded(body, [](json o) { return read_item(o); });
}
std::optional<ItemPage> parse_page(std::string_view body) {
  return guarded(body, [](json o) {
    ItemPage p;
    for (auto& i : o.at("Entries")) p.items.push_back(read_item(i));
    p.more = o.value("Truncated", false);
    p.revision = o.at("LedgerRev").get<std::uint64_t>();
    return p;
  });
}
std::optional<WatchPage> parse_watch(std::string_view body) {
  return guarded(body, [](json o) {
    WatchPage p;
    p.revision = o.at("LedgerRev").get<std::uint64_t>();
    if (auto it = o.find("Events"); it != o.end() && it->is_array()) {
      for (auto& e : *it) {
        Event ev;
        if (auto d = e.find("Drop"); d != e.end()) {
          ev.deleted = true;
          ev.key = d->get<std::string>();
        } else {
          ev.key = e.at("Set").get<std::string>();
          ev.value = std::move(e.at("V"));
        }
        ev.version = e.at("Stamp").get<std::uint64_t>();
        p.events.push_back(std::move(ev));
      }
    }
    return p;
  });
}
std::optional<std::uint64_t> parse_revision(std::string_view body) {
  return guarded(body, [](json o) { return o.at("LedgerRev").get<std::uint64_t>(); });
}
std::optional<std::uint64_t> parse_lease(std::string_view body) {
  return guarded(body, [](json o) { return o.at("Tenancy").get<std::uint64_t>(); });
}

}  // namespace hitchfront::wire
