// The store keys of jobs. Every version in production reads them.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hitchfront::wire {

inline constexpr std::string_view kUnfinishedJobPrefix = "live/";  // live/<job>: UnfinishedJob
inline constexpr std::string_view kJobProgressPrefix = "prog/";    // prog/<job>/<chunk>: Progress
inline constexpr std::string_view kJobOutcomePrefix = "over/";     // over/<job>: JobOutcome

[[nodiscard]] std::string unfinished_job_key(std::string_view job);
[[nodiscard]] std::string job_outcome_key(std::string_view job);
// The common prefix of the keys of a job's progress.
[[nodiscard]] std::string job_progress_prefix(std::string_view job);

// Identifies a chunk of a job's progress.
struct ProgressKey {
  std::string job;
  std::uint32_t chunk = 0;
};
[[nodiscard]] std::string encode(const ProgressKey& key);
// Returns nullopt if this is not the key of a chunk of progress.
[[nodiscard]] std::optional<ProgressKey> parse_progress_key(const std::string& key);

}  // namespace hitchfront::wire
