// Formats times, durations and counts for log summaries.
#pragma once
#include <cstdint>
#include <string>

namespace hitchfront::telemetry {

// Formats Unix time in milliseconds as a time of day in UTC, such as 10:00:01.250.
std::string time_of_day_text(std::int64_t ms);
// Formats as 26.7 s.
std::string seconds_text(double seconds);
// Formats as 1 machine, 2 machines, 1,295 machines. `noun` is the singular.
std::string count_text(std::uint64_t count, const std::string& noun);

}  // namespace hitchfront::telemetry
