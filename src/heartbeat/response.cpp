#include "heartbeat/response.hpp"

#include <algorithm>

namespace hitchfront::heartbeat {
using wire::Command;
using Op = wire::Command::Op;
namespace {
Command make_command(Op op, const Attempt& attempt, double grace_s = 0) {
  return {op, attempt.job, attempt.task, attempt.number, grace_s};
}
}  // namespace

std::size_t Response::remaining_commands() const {
  const auto used =
      terminations_.size() + 2 * launch_and_stop_pairs_.size() + other_commands_.size();
  return used < max_commands_ ? max_commands_ - used : 0;
}

void Response::terminate(const Attempt& attempt, Ms renewable_until) {
  terminations_.push_back({make_command(Op::stop, attempt), renewable_until});
}

void Response::terminate_unlisted(Ms now, const Attempt& attempt, Ms renewable_until) {
  if (now >= renewable_until) {
    late_launch_possible_ = true;
  } else if (attempt.number != 0 && remaining_commands() >= 2) {
    launch_and_stop_pairs_.push_back(attempt);
  }
}

void Response::stop(const Attempt& attempt, double grace_s) {
  if (remaining_commands() > 0) other_commands_.push_back(make_command(Op::stop, attempt, grace_s));
}

void Response::forget(const Attempt& attempt) {
  if (remaining_commands() > 0) other_commands_.push_back(make_command(Op::forget, attempt));
}

void Response::launch(const Attempt& attempt) {
  if (remaining_commands() > 0) other_commands_.push_back(make_command(Op::start, attempt));
}

bool Response::renews_lease(Ms now) const {
  if (late_launch_possible_) return false;
  return std::none_of(
      terminations_.begin() +
          static_cast<std::ptrdiff_t>(std::min(max_commands_, terminations_.size())),
      terminations_.end(),
      [&](const Termination& termination) { return now >= termination.renewable_until; });
}

std::vector<Command> Response::commands() const {
  std::vector<Command> commands;
  for (const auto& termination : terminations_) {
    if (commands.size() == max_commands_) return commands;
    commands.push_back(termination.command);
  }
  // Terminations added later may have taken the room of commands that fitted when they were added.
  for (const auto& command : other_commands_) {
    if (commands.size() == max_commands_) return commands;
    commands.push_back(command);
  }
  for (const auto& attempt : launch_and_stop_pairs_) {
    if (commands.size() + 2 > max_commands_) return commands;
    commands.push_back(make_command(Op::start, attempt));
    commands.push_back(make_command(Op::stop, attempt));
  }
  return commands;
}

std::vector<std::vector<Command>> Response::direct_commands(bool lease_renewed) const {
  std::vector<std::vector<Command>> batches;
  for (std::size_t first = lease_renewed ? max_commands_ : 0; first < terminations_.size();
       first += max_commands_) {
    batches.emplace_back();
    for (std::size_t i = first; i < std::min(first + max_commands_, terminations_.size()); ++i)
      batches.back().push_back(terminations_[i].command);
  }
  if (!lease_renewed && batches.empty()) batches.emplace_back();
  return batches;
}

}  // namespace hitchfront::heartbeat
