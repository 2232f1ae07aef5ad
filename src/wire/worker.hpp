// What workers report (POST /agent/beat) and are told.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::wire {

enum class TaskState { fetching, running, saving, ended };
enum class Cause { none, done, stopped, error, full, busy, unknown };
std::string_view name(Cause cause);  // as on the wire

struct TaskStatus {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::running;
  Cause cause = Cause::none;
  bool saved = false;
};

struct Heartbeat {
  std::string machine, addr, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0, seq = 0, fencing_token = 0;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
};

struct Command {
  enum class Op { start, stop, forget } op = Op::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // stop only
};

std::optional<Heartbeat> parse_heartbeat(std::string_view body);
std::string encode(const Heartbeat& heartbeat);  // for workers and simulators
std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands);
std::string direct_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<Command>& commands);
std::string redirect(std::string_view node);  // body of 421; empty: no leader to name

struct HeartbeatResponse {
  std::uint64_t fencing_token = 0;
  std::vector<Command> commands;
};
std::optional<HeartbeatResponse> parse_heartbeat_response(std::string_view body);

}  // namespace hitchfront::wire
