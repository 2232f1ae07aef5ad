#include "simulation/launch_log.hpp"

#include "wire/job.hpp"
#include "wire/worker.hpp"

namespace hitchfront::testing {
namespace {

constexpr const char* kUnfinishedJobs = "live/";
constexpr const char* kOutcomes = "over/";

}  // namespace

void LaunchLog::note_effects(std::int64_t now, const core::Effects& effects) {
  for (const auto& reply : effects.replies) note_commands(now, reply.body);
  for (const auto& call : effects.calls)
    if (call.target == core::Target::worker) note_commands(now, call.body);
}

void LaunchLog::note_commands(std::int64_t now, const std::string& body) {
  if (body.find("\"launch\"") == std::string::npos) return;
  const auto response = wire::parse_heartbeat_response(body);
  if (!response) return;
  for (const auto& command : response->commands)
    if (command.op == wire::Command::Op::start)
      knowing_.emplace(Attempt{command.job, command.task, command.attempt},
                       is_known_cancelled(now, command.job));
}

bool LaunchLog::is_known_cancelled(std::int64_t now, const std::string& job) const {
  const auto observed = checker_.jobs.find(job);
  if (observed != checker_.jobs.end() && observed->second.acknowledged_cancelled) return true;
  const auto stored = cancelled_at_.find(job);
  return stored != cancelled_at_.end() && now > stored->second + kWatchMs;
}

void LaunchLog::note_stored(std::int64_t now, const std::string& key, const nlohmann::json& value) {
  if (key.starts_with(kUnfinishedJobs)) {
    const auto record = wire::decode_unfinished_job(value);
    if (record && record->cancelled) cancelled_at_.emplace(record->job.id, now);
  } else if (key.starts_with(kOutcomes)) {
    const auto outcome = wire::decode_job_outcome(value);
    if (outcome && outcome->cancelled)
      cancelled_at_.emplace(key.substr(std::string(kOutcomes).size()), now);
  }
}

bool LaunchLog::launched_knowing(const std::string& job, std::uint32_t task,
                                 std::uint64_t attempt) const {
  const auto it = knowing_.find({job, task, attempt});
  return it == knowing_.end() || it->second;
}

}  // namespace hitchfront::testing
