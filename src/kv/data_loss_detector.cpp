#include "kv/data_loss_detector.hpp"

#include <algorithm>
#include <optional>

namespace hitchfront::core {
namespace {

// The store's revision in a response, where it tells one: a store that has lost everything tells 0.
// Quotes within texts are escaped, so this is a field.
std::optional<std::uint64_t> revision_in(std::string_view response) {
  constexpr std::string_view kField = "\"LedgerRev\":";
  auto at = response.find(kField);
  if (at == std::string_view::npos) return std::nullopt;
  at += kField.size();
  while (at < response.size() && response[at] == ' ') ++at;
  std::uint64_t revision = 0;
  for (; at < response.size() && response[at] >= '0' && response[at] <= '9'; ++at)
    revision = revision * 10 + static_cast<std::uint64_t>(response[at] - '0');
  return revision;
}

}  // namespace

bool DataLossDetector::shows_loss(const Asked& asked, std::string_view response) {
  if (!enabled_ || asked.epoch != epoch_) return false;
  const auto revision = revision_in(response);
  if (!revision) return false;
  if (*revision < asked.revision) return true;
  revision_ = std::max(revision_, *revision);
  return false;
}

void DataLossDetector::note_revision(std::uint64_t revision) {
  if (!lost_) revision_ = std::max(revision_, revision);
}

void DataLossDetector::lose() {
  lost_ = true;
  ++epoch_;
  revision_ = 0;
}

void DataLossDetector::recover() {
  lost_ = false;
  ++epoch_;
  revision_ = 0;
}

}  // namespace hitchfront::core
