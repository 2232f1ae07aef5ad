// Codecs of the heartbeats of worker agents (POST /agent/beat) and of the commands sent to them.
// The parsers return nullopt if the body is malformed.
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
  std::optional<double> notice_s;  // time left until the machine is reclaimed, once announced
  std::vector<TaskStatus> tasks;
};

struct Command {
  enum class Op { start, stop, forget } op = Op::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // only for `stop`: time to exit
};

std::optional<Heartbeat> parse_heartbeat(std::string_view body);
std::string encode(const Heartbeat& heartbeat);  // for workers and simulators
std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands);
// Body of a request by which the leader sends commands outside of a heartbeat response.
std::string direct_commands_body(std::uint64_t fencing_token, std::uint64_t incarnation,
                                 const std::vector<Command>& commands);
// Body of a response with status 421. `node` is empty if there is no controller to redirect to.
std::string redirect_body(std::string_view node);

struct HeartbeatResponse {
  std::uint64_t fencing_token = 0;
  std::vector<Command> commands;
};
std::optional<HeartbeatResponse> parse_heartbeat_response(std::string_view body);

}  // namespace hitchfront::wire
