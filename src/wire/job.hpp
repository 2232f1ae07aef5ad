// Codecs of jobs: as submitted by users (POST /work) and as stored.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::wire {

enum class JobForm { array, service };
enum class Priority { production = 3, high = 2, normal = 1, low = 0 };

inline constexpr std::size_t kMaxBodyBytes = 64 * 1024;  // PROTOCOL, request bodies
inline constexpr std::uint32_t kMaxTasks = 100'000;      // PROTOCOL, `Lots`

struct Job {
  std::string id, job_class, team, image;
  JobForm form = JobForm::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  double image_gb = 0, estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string> dependencies;  // ids of jobs that must be done before any task may start
};

// Why a submission was rejected. `field` is empty if the error concerns the whole body.
struct FieldError {
  std::string field, reason;
};

bool valid_job_id(std::string_view id);
// A parsed and validated submission. Exactly one of `job` and `error` is set. `known_id` is set
// whenever the body contains a well-formed id, so that an idempotent resubmission of an accepted
// job is recognized even if the rest of the body is invalid.
struct ParsedJob {
  std::optional<Job> job;
  std::optional<FieldError> error;
  std::string known_id;
};
ParsedJob parse_job(std::string_view body);
nlohmann::json to_json(const Job& job);

// The stored record live/<job>.
struct UnfinishedJob {
  Job job;
  std::int64_t accepted_ms = 0;  // Unix time by the clock of the accepting node
  bool cancelled = false;
  std::uint32_t launch_watermark = 0;  // tasks with lower numbers may have been launched
};
std::string encode(const UnfinishedJob& record);
// Encodes a record within `max_bytes` if possible. A record that an earlier version accepted under
// a larger limit is shortened by the names of unknown machine types, or of all machine types if the
// job is cancelled.
std::string encode_within(const UnfinishedJob& record, std::size_t max_bytes,
                          const std::vector<std::string>& known_type_names);
// Bytes by which a record may grow after its acceptance, as the launch watermark gets more digits.
inline constexpr std::size_t kMaxRecordGrowthBytes = 8;
std::optional<UnfinishedJob> decode_unfinished_job(const nlohmann::json& value);

// The stored record over/<job>.
struct JobOutcome {
  bool cancelled = false;
  std::uint32_t done = 0;
};
std::string encode(const JobOutcome& record);
std::optional<JobOutcome> decode_job_outcome(const nlohmann::json& value);

// Bodies of responses to users.
std::string job_counts_body(std::string_view id, std::string_view status, std::uint32_t done,
                            std::uint32_t running);
std::string job_status_body(std::string_view id, std::string_view status);
std::string error_body(std::string_view error, std::string_view field = {});

inline constexpr std::string_view kPending = "pending", kRunning = "running", kDone = "done",
                                  kCancelled = "withdrawn";
}  // namespace hitchfront::wire
