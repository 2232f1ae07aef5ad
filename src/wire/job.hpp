// Jobs as users submit them (POST /work) and as the store keeps them.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::wire {

enum class Form { array, service };
enum class Priority { production = 3, high = 2, normal = 1, low = 0 };

inline constexpr std::size_t kMaxBody = 64 * 1024;   // bytes; PROTOCOL, request bodies
inline constexpr std::uint32_t kMaxTasks = 100'000;  // PROTOCOL, `Lots`

struct Job {
  std::string id, job_class, team, image;
  Form form = Form::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  double image_gb = 0, estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string> awaits;  // jobs that have to be done before any task of this one starts
};

// Where a body was refused: the field and what was wrong with it.
struct BadField {
  std::string field, reason;
};

bool valid_job_id(std::string_view id);
// Parses and checks a submission. Exactly one of `job` and `bad` is set. `known_id` is set whenever
// the body names a well-formed id, so that a repeat of an accepted job can be recognised first.
struct ParsedJob {
  std::optional<Job> job;
  std::optional<BadField> bad;
  std::string known_id;
};
ParsedJob parse_job(std::string_view body);
nlohmann::json to_json(const Job& job);

// The store's record under live/<job>.
struct UnfinishedJob {
  Job job;
  std::int64_t accepted_ms = 0;  // wall clock of the accepting node
  bool cancelled = false;
  std::uint32_t launch_watermark = 0;  // tasks below it may have been launched
};
std::string encode(const UnfinishedJob& record);
// At most so many bytes where that can be had: a record that an earlier version accepted under a
// larger limit loses the names of machine types that nobody knows, or all of them once the job is
// cancelled and needs none.
std::string encode_within(const UnfinishedJob& record, std::size_t most,
                          const std::vector<std::string>& known_type_names);
// Bytes by which a record may grow after its acceptance: its mark gets more digits.
inline constexpr std::size_t kRecordGrowth = 8;
std::optional<UnfinishedJob> decode_unfinished_job(const nlohmann::json& value);

// The store's record under over/<job>.
struct JobOutcome {
  bool cancelled = false;
  std::uint32_t done = 0;
};
std::string encode(const JobOutcome& record);
std::optional<JobOutcome> decode_job_outcome(const nlohmann::json& value);

// Users' answers.
std::string job_answer(std::string_view id, std::string_view status, std::uint32_t done,
                       std::uint32_t running);
std::string job_status(std::string_view id, std::string_view status);
std::string error_body(std::string_view error, std::string_view field = {});

inline constexpr std::string_view kPending = "pending", kRunning = "running", kDone = "done",
                                  kCancelled = "withdrawn";
}  // namespace hitchfront::wire
