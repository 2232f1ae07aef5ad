#include "simulation/launch_log.hpp"

#include "wire/job.hpp"
#include "wire/worker.hpp"

namespace hitchfront::testing {
namespace {

constexpr const char* kUnfinishedJobs = "live/";
constexpr const char* kOutcomes = "over/";

}  // namespace

void LaunchLog::note_effects(const core::Effects& effects) {
  for (const auto& reply : effects.replies) note_commands(reply.body);
  for (const auto& call : effects.calls)
    if (call.target == core::Target::worker) note_commands(call.body);
}

void LaunchLog::note_commands(const std::string& body) {
  if (body.find("\"launch\"") == std::string::npos) return;
  const auto response = wire::parse_heartbeat_response(body);
  if (!response) return;
  for (const auto& command : response->commands)
    if (command.op == wire::Command::Op::start)
      after_cancellation_.emplace(Attempt{command.job, command.task, command.attempt},
                                  cancelled_.contains(command.job));
}

void LaunchLog::note_stored(const std::string& key, const nlohmann::json& value) {
  if (key.starts_with(kUnfinishedJobs)) {
    const auto record = wire::decode_unfinished_job(value);
    if (record && record->cancelled) cancelled_.insert(record->job.id);
  } else if (key.starts_with(kOutcomes)) {
    const auto outcome = wire::decode_job_outcome(value);
    if (outcome && outcome->cancelled) cancelled_.insert(key.substr(std::string(kOutcomes).size()));
  }
}

bool LaunchLog::launched_after_cancellation(const std::string& job, std::uint32_t task,
                                            std::uint64_t attempt) const {
  const auto it = after_cancellation_.find({job, task, attempt});
  return it == after_cancellation_.end() || it->second;
}

}  // namespace hitchfront::testing
