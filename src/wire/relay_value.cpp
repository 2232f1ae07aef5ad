#include "wire/relay_value.hpp"

#include "wire/prefixed_key.hpp"

namespace hitchfront::wire {
using nlohmann::json;
namespace {
constexpr const char* kSequenceField = "seq";
constexpr const char* kItemsField = "items";
}  // namespace

std::string relay_request_key(std::string_view node) {
  return prefixed_key(kRelayRequestPrefix, node);
}

std::string relay_response_key(std::string_view node) {
  return prefixed_key(kRelayResponsePrefix, node);
}

std::string encode(const RelayValue& value) {
  return json{{kSequenceField, value.sequence}, {kItemsField, value.items}}.dump();
}

std::optional<RelayValue> decode_relay_value(const json& value) {
  if (!value.is_object()) return std::nullopt;
  const auto items = value.find(kItemsField);
  if (items == value.end() || !items->is_string()) return std::nullopt;
  return RelayValue{value.value(kSequenceField, std::uint64_t{0}), items->get<std::string>()};
}

}  // namespace hitchfront::wire
