// Times, durations and counts as a log summary writes them.
#pragma once
#include <cstdint>
#include <string>

namespace hitchfront::telemetry {

// Milliseconds since 1970 as a time of day in UTC: 10:00:01.250
std::string time_of_day_text(std::int64_t ms);
// 26.7 s
std::string seconds_text(double s);
// 1 machine, 2 machines, 1,295 machines
std::string count_text(std::uint64_t count, const std::string& noun);

}  // namespace hitchfront::telemetry
