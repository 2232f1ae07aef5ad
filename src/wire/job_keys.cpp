#include "wire/job_keys.hpp"

#include <charconv>

#include "wire/prefixed_key.hpp"

namespace hitchfront::wire {

std::string unfinished_job_key(std::string_view job) {
  return prefixed_key(kUnfinishedJobPrefix, job);
}

std::string job_outcome_key(std::string_view job) {
  return prefixed_key(kJobOutcomePrefix, job);
}

std::string job_progress_prefix(std::string_view job) {
  return prefixed_key(kJobProgressPrefix, job) + "/";
}

std::string encode(const ProgressKey& key) {
  return job_progress_prefix(key.job) + std::to_string(key.chunk);
}

std::optional<ProgressKey> parse_progress_key(const std::string& key) {
  const auto slash = key.rfind('/');
  if (!key.starts_with(kJobProgressPrefix) || slash < kJobProgressPrefix.size())
    return std::nullopt;
  ProgressKey parsed;
  parsed.job = key.substr(kJobProgressPrefix.size(), slash - kJobProgressPrefix.size());
  const char* const end = key.data() + key.size();
  const auto [parsed_end, error] = std::from_chars(key.data() + slash + 1, end, parsed.chunk);
  if (error != std::errc() || parsed_end != end) return std::nullopt;
  return parsed;
}

}  // namespace hitchfront::wire
