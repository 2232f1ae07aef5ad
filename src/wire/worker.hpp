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

struct ReportedTask {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::running;
  Cause cause = Cause::none;
  bool saved = false;
};

struct Report {
  std::string machine, addr, type, zone;
  bool spot = false;
  std::uint64_t session = 0, seq = 0, token = 0;
  std::optional<double> notice_s;
  std::vector<ReportedTask> tasks;
};

struct Command {
  enum class Op { start, stop, forget } op = Op::start;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // stop only
};

std::optional<Report> parse_report(std::string_view body);
std::string encode(const Report& report);  // for workers and stand-ins
std::string report_answer(std::uint64_t token, const std::vector<Command>& commands);
std::string direct_commands(std::uint64_t token, std::uint64_t session,
                            const std::vector<Command>& commands);
std::string redirect(std::string_view node);  // body of 421; empty: no leader to name

struct ReportAnswer {
  std::uint64_t token = 0;
  std::vector<Command> commands;
};
std::optional<ReportAnswer> parse_report_answer(std::string_view body);

}  // namespace hitchfront::wire
