// Codecs of the API of the consensus-backed key-value store. The parsers return nullopt if the body
// is malformed.
#pragma once
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::wire {

struct Item {
  std::string key;
  nlohmann::json value;
  std::uint64_t version = 0, lease = 0;  // lease 0: the key is not bound to a lease
};
struct ItemPage {
  std::vector<Item> items;
  bool more = false;  // further items follow
  std::uint64_t revision = 0;
};
struct Event {
  std::string key;
  bool deleted = false;
  nlohmann::json value;
  std::uint64_t version = 0;
};
struct WatchPage {
  std::uint64_t revision = 0;
  std::vector<Event> events;
};

// Builds the body of POST /txn: writes that are applied atomically if all version conditions hold.
// Values are passed as JSON text.
class Txn {
 public:
  Txn& if_version(std::string key, std::uint64_t version);
  Txn& put(std::string key, std::string_view value, std::uint64_t lease = 0);
  Txn& put_text(std::string key, std::string text);  // the value is a JSON string of this text
  Txn& drop(std::string key);
  // If `level_key` is not empty, adds the condition that this key has version `version`.
  std::string body(std::string_view level_key = {}, std::uint64_t version = 0) const;
  int writes() const { return static_cast<int>(then_.size()); }
  // Calls `visit` for each key that is put or dropped, with its part up to and including the first
  // slash, or the whole key if it has none.
  void for_each_prefix(const std::function<void(std::string_view)>& visit) const;

 private:
  nlohmann::json if_ = nlohmann::json::array(), then_ = nlohmann::json::array();
};

std::string get_path(std::string_view key);
std::string range_path(std::string_view prefix, std::string_view after, std::uint32_t limit);
std::string watch_path(std::string_view prefix, std::uint64_t after, std::uint32_t wait_ms);
std::string create_lease_body(std::uint32_t ttl_ms);
std::string renew_lease_path(std::uint64_t lease);
std::string revoke_lease_path(std::uint64_t lease);

std::optional<Item> parse_item(std::string_view body);
std::optional<ItemPage> parse_page(std::string_view body);
std::optional<WatchPage> parse_watch(std::string_view body);
std::optional<std::uint64_t> parse_revision(std::string_view body);
std::optional<std::uint64_t> parse_lease(std::string_view body);

}  // namespace hitchfront::wire
