#include "telemetry/log_text.hpp"

#include <array>
#include <cstdio>
#include <ctime>

namespace hitchfront::telemetry {

std::string time_of_day_text(std::int64_t ms) {
  const auto s = static_cast<std::time_t>(ms / 1000);
  std::tm t{};
  gmtime_r(&s, &t);
  std::array<char, 40> out{};
  std::snprintf(out.data(), out.size(), "%02d:%02d:%02d.%03d", t.tm_hour, t.tm_min, t.tm_sec,
                static_cast<int>(ms % 1000));
  return out.data();
}

std::string seconds_text(double seconds) {
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%.1f s", seconds);
  return out.data();
}

std::string count_text(std::uint64_t count, const std::string& noun) {
  constexpr int kDigitsPerGroup = 3;
  std::string digits = std::to_string(count);
  for (int at = static_cast<int>(digits.size()) - kDigitsPerGroup; at > 0; at -= kDigitsPerGroup)
    digits.insert(static_cast<std::size_t>(at), ",");
  return digits + " " + noun + (count == 1 ? "" : "s");
}

}  // namespace hitchfront::telemetry
