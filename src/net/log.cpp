#include "net/log.hpp"

#include <spdlog/fmt/chrono.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdlib>

namespace hitchfront::net {
namespace {

std::string node_name;
LogFormat log_format = LogFormat::text;

spdlog::level::level_enum spdlog_level(telemetry::Level level) {
  return level == telemetry::Level::error  ? spdlog::level::err
         : level == telemetry::Level::info ? spdlog::level::info
                                           : spdlog::level::debug;
}

// The time of day in UTC, in ISO 8601 format.
std::string utc_timestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03d}Z",
                     fmt::gmtime(static_cast<std::time_t>(ms / 1000)), ms % 1000);
}

}  // namespace

void set_up_log(const std::string& node, LogFormat format) {
  node_name = node;
  log_format = format;
  auto log = spdlog::stderr_logger_st("hitchfront");
  log->set_pattern(format == LogFormat::json ? "%v" : "%Y-%m-%dT%H:%M:%S.%e %l " + node + ": %v");
  const char* level_name = std::getenv("LOG_LEVEL");
  const std::string level = level_name != nullptr ? level_name : "info";
  log->set_level(level == "error"   ? spdlog::level::err
                 : level == "debug" ? spdlog::level::debug
                                    : spdlog::level::info);
  spdlog::set_default_logger(std::move(log));
}

void Log::write(const std::vector<telemetry::Entry>& entries) {
  for (const auto& entry : entries) {
    const auto level = spdlog_level(entry.level);
    if (!spdlog::should_log(level)) continue;
    ++lines_written_;
    if (log_format == LogFormat::json)
      spdlog::log(level, "{}", telemetry::json_line(entry, utc_timestamp(), node_name));
    else
      spdlog::log(level, "{}", telemetry::text(entry));
  }
}

}  // namespace hitchfront::net
