#include "wire/state.hpp"

namespace hitchfront::wire {
using nlohmann::json;
namespace {

template <class Read>
auto parse_object(std::string_view body, Read read) -> std::optional<decltype(read(json{}))> {
  json object = json::parse(body, nullptr, false);
  if (!object.is_object()) return std::nullopt;
  try {
    return read(std::move(object));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

Item read_item(json& object) {
  Item item;
  item.key = object.at("K").get<std::string>();
  item.value = std::move(object.at("V"));
  item.version = object.at("Stamp").get<std::uint64_t>();
  if (auto it = object.find("Tenancy"); it != object.end() && it->is_number_unsigned())
    item.lease = it->get<std::uint64_t>();
  return item;
}

}  // namespace

Txn& Txn::if_version(std::string key, std::uint64_t version) {
  if_.push_back({{"K", std::move(key)}, {"Stamp", version}});
  return *this;
}
Txn& Txn::put(std::string key, std::string_view value, std::uint64_t lease) {
  json object = {{"Set", std::move(key)}, {"V", json::parse(value)}};
  if (lease != 0) object["Tenancy"] = lease;
  then_.push_back(std::move(object));
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
  json object = {{"If", if_}, {"Then", then_}};
  if (!level_key.empty()) object["If"].push_back({{"K", level_key}, {"Stamp", version}});
  return object.dump();
}

void Txn::for_each_prefix(const std::function<void(std::string_view)>& visit) const {
  for (const auto& change : then_) {
    const auto it = change.contains("Set") ? change.find("Set") : change.find("Drop");
    const std::string_view key = it->get_ref<const std::string&>();
    visit(key.substr(
        0, std::min(key.size(),
                    key.find('/') == std::string_view::npos ? key.size() : key.find('/') + 1)));
  }
}

std::string get_path(std::string_view key) {
  return "/store/" + std::string(key);
}
std::string range_path(std::string_view prefix, std::string_view after, std::uint32_t limit) {
  std::string path = "/store?Under=" + std::string(prefix);
  if (!after.empty()) path += "&After=" + std::string(after);
  return path + "&Page=" + std::to_string(limit);
}
std::string watch_path(std::string_view prefix, std::uint64_t after, std::uint32_t wait_ms) {
  return "/watch?Under=" + std::string(prefix) + "&After=" + std::to_string(after) +
         "&HoldMs=" + std::to_string(wait_ms);
}
std::string create_lease_body(std::uint32_t ttl_ms) {
  return json{{"LifeMs", ttl_ms}}.dump();
}
std::string renew_lease_path(std::uint64_t lease) {
  return "/holds/" + std::to_string(lease) + "/touch";
}
std::string revoke_lease_path(std::uint64_t lease) {
  return "/holds/" + std::to_string(lease);
}

std::optional<Item> parse_item(std::string_view body) {
  return parse_object(body, [](json object) { return read_item(object); });
}
std::optional<ItemPage> parse_page(std::string_view body) {
  return parse_object(body, [](json object) {
    ItemPage page;
    for (auto& entry : object.at("Entries")) page.items.push_back(read_item(entry));
    page.more = object.value("Truncated", false);
    page.revision = object.at("LedgerRev").get<std::uint64_t>();
    return page;
  });
}
std::optional<WatchPage> parse_watch(std::string_view body) {
  return parse_object(body, [](json object) {
    WatchPage page;
    page.revision = object.at("LedgerRev").get<std::uint64_t>();
    if (auto it = object.find("Events"); it != object.end() && it->is_array()) {
      for (auto& entry : *it) {
        Event event;
        if (auto dropped_key = entry.find("Drop"); dropped_key != entry.end()) {
          event.deleted = true;
          event.key = dropped_key->get<std::string>();
        } else {
          event.key = entry.at("Set").get<std::string>();
          event.value = std::move(entry.at("V"));
        }
        event.version = entry.at("Stamp").get<std::uint64_t>();
        page.events.push_back(std::move(event));
      }
    }
    return page;
  });
}
std::optional<std::uint64_t> parse_revision(std::string_view body) {
  return parse_object(body,
                      [](json object) { return object.at("LedgerRev").get<std::uint64_t>(); });
}
std::optional<std::uint64_t> parse_lease(std::string_view body) {
  return parse_object(body, [](json object) { return object.at("Tenancy").get<std::uint64_t>(); });
}

}  // namespace hitchfront::wire
