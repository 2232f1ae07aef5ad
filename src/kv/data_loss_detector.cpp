#include "kv/data_loss_detector.hpp"

#include <algorithm>
#include <optional>

namespace hitchfront::core {
namespace {

// Returns the store's revision from a response body, if present; it is 0 after the loss of all
// data. Searching the text is safe: quotes within JSON strings are escaped, so a match is a field
// name.
std::optional<std::uint64_t> parse_revision(std::string_view response) {
  constexpr std::string_view kField = "\"LedgerRev\":";
  auto position = response.find(kField);
  if (position == std::string_view::npos) return std::nullopt;
  position += kField.size();
  while (position < response.size() && response[position] == ' ') ++position;
  std::uint64_t revision = 0;
  for (; position < response.size() && response[position] >= '0' && response[position] <= '9';
       ++position)
    revision = revision * 10 + static_cast<std::uint64_t>(response[position] - '0');
  return revision;
}

}  // namespace

bool DataLossDetector::detect_loss(const Baseline& baseline, std::string_view response) {
  if (!enabled_ || baseline.epoch != epoch_) return false;
  const auto revision = parse_revision(response);
  if (!revision) return false;
  if (*revision < baseline.revision) return true;
  revision_ = std::max(revision_, *revision);
  return false;
}

void DataLossDetector::record_revision(std::uint64_t revision) {
  if (!lost_) revision_ = std::max(revision_, revision);
}

void DataLossDetector::record_loss() {
  lost_ = true;
  ++epoch_;
  revision_ = 0;
}

void DataLossDetector::record_recovery() {
  lost_ = false;
  ++epoch_;
  revision_ = 0;
}

}  // namespace hitchfront::core
