#include "wire/worker.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

#include "wire/job.hpp"

namespace hitchfront::wire {
using nlohmann::json;
namespace {

constexpr std::pair<const char*, TaskState> kStates[] = {{"fetching", TaskState::fetching},
                                                         {"running", TaskState::running},
                                                         {"saving", TaskState::saving},
                                                         {"ended", TaskState::ended}};
constexpr std::pair<const char*, Cause> kCauses[] = {
    {"done", Cause::done}, {"halted", Cause::stopped}, {"error", Cause::error},
    {"full", Cause::full}, {"busy", Cause::busy},      {"no_such", Cause::unknown}};
constexpr std::pair<const char*, Command::Op> kOps[] = {
    {"launch", Command::Op::start}, {"stop", Command::Op::stop}, {"clear", Command::Op::forget}};

template <class T, std::size_t N>
std::optional<T> by_name(const std::pair<const char*, T> (&table)[N], std::string_view name) {
  for (const auto& [entry_name, value] : table)
    if (name == entry_name) return value;
  return std::nullopt;
}
template <class T, std::size_t N>
const char* name_of(const std::pair<const char*, T> (&table)[N], T value) {
  for (const auto& [name, entry_value] : table)
    if (entry_value == value) return name;
  return "";
}

bool parse_task_name(std::string_view task_name, std::string& job, std::uint32_t& task) {
  const auto slash = task_name.rfind('/');
  if (slash == std::string_view::npos) return false;
  job = task_name.substr(0, slash);
  const char* end = task_name.data() + task_name.size();
  const auto [parsed_end, error] = std::from_chars(task_name.data() + slash + 1, end, task);
  return error == std::errc() && parsed_end == end && valid_job_id(job);
}

json task_object(const std::string& job, std::uint32_t task, std::uint64_t attempt) {
  return {{"Lot", job + "/" + std::to_string(task)}, {"Try", attempt}};
}

json commands_array(const std::vector<Command>& commands) {
  json list = json::array();
  for (const auto& command : commands) {
    json object = task_object(command.job, command.task, command.attempt);
    object["Verb"] = name_of(kOps, command.op);
    if (command.op == Command::Op::stop) object["LeaveS"] = command.grace_s;
    list.push_back(std::move(object));
  }
  return list;
}

}  // namespace

std::string_view name(Cause cause) {
  return name_of(kCauses, cause);
}

std::optional<Heartbeat> parse_heartbeat(std::string_view body) {
  json object = json::parse(body, nullptr, false);
  if (!object.is_object()) return std::nullopt;
  try {
    Heartbeat heartbeat;
    heartbeat.machine = object.at("Post").get<std::string>();
    heartbeat.addr = object.at("Addr").get<std::string>();
    heartbeat.type = object.at("Rig").get<std::string>();
    heartbeat.zone = object.at("Hall").get<std::string>();
    heartbeat.spot = object.at("Loaners").get<bool>();
    heartbeat.incarnation = object.at("Tenure").get<std::uint64_t>();
    heartbeat.seq = object.at("Tally").get<std::uint64_t>();
    heartbeat.fencing_token = object.value("Warrant", std::uint64_t{0});
    if (auto it = object.find("RecallS"); it != object.end() && it->is_number())
      heartbeat.notice_s = it->get<double>();
    if (auto it = object.find("Lots"); it != object.end() && it->is_array()) {
      for (const auto& entry : *it) {
        TaskStatus task;
        if (!parse_task_name(entry.at("Lot").get_ref<const std::string&>(), task.job, task.task))
          return std::nullopt;
        task.attempt = entry.at("Try").get<std::uint64_t>();
        auto state = by_name(kStates, entry.at("Status").get_ref<const std::string&>());
        // A task in a state unknown to this version still occupies the machine.
        task.state = state.value_or(TaskState::running);
        if (task.state == TaskState::ended) {
          auto cause = entry.find("Cause");
          if (cause != entry.end() && cause->is_string())
            task.cause =
                by_name(kCauses, cause->get_ref<const std::string&>()).value_or(Cause::error);
          else
            task.cause = Cause::error;
          if (auto saved = entry.find("Kept"); saved != entry.end() && saved->is_boolean())
            task.saved = saved->get<bool>();
        }
        heartbeat.tasks.push_back(std::move(task));
      }
    }
    return heartbeat;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string encode(const Heartbeat& heartbeat) {
  json object = {{"Post", heartbeat.machine}, {"Addr", heartbeat.addr},
                 {"Rig", heartbeat.type},     {"Hall", heartbeat.zone},
                 {"Loaners", heartbeat.spot}, {"Tenure", heartbeat.incarnation},
                 {"Tally", heartbeat.seq},    {"Warrant", heartbeat.fencing_token}};
  object["RecallS"] = heartbeat.notice_s ? json(*heartbeat.notice_s) : json(nullptr);
  json tasks = json::array();
  for (const auto& task : heartbeat.tasks) {
    json status = task_object(task.job, task.task, task.attempt);
    status["Status"] = name_of(kStates, task.state);
    if (task.state == TaskState::ended) status["Cause"] = name_of(kCauses, task.cause);
    if (task.saved) status["Kept"] = true;
    tasks.push_back(std::move(status));
  }
  object["Lots"] = std::move(tasks);
  return object.dump();
}

std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands) {
  return json{{"Warrant", fencing_token}, {"Orders", commands_array(commands)}}.dump();
}

std::string direct_commands_body(std::uint64_t fencing_token, std::uint64_t incarnation,
                                 const std::vector<Command>& commands) {
  return json{
      {"Warrant", fencing_token}, {"Tenure", incarnation}, {"Orders", commands_array(commands)}}
      .dump();
}

std::string redirect_body(std::string_view node) {
  json object = json::object();
  if (!node.empty()) object["AnswerTo"] = node;
  return object.dump();
}

std::optional<HeartbeatResponse> parse_heartbeat_response(std::string_view body) {
  json object = json::parse(body, nullptr, false);
  if (!object.is_object()) return std::nullopt;
  try {
    HeartbeatResponse response;
    response.fencing_token = object.at("Warrant").get<std::uint64_t>();
    for (const auto& entry : object.at("Orders")) {
      Command command;
      if (!parse_task_name(entry.at("Lot").get_ref<const std::string&>(), command.job,
                           command.task))
        return std::nullopt;
      command.attempt = entry.at("Try").get<std::uint64_t>();
      auto op = by_name(kOps, entry.at("Verb").get_ref<const std::string&>());
      if (!op) return std::nullopt;
      command.op = *op;
      command.grace_s = entry.value("LeaveS", 0.0);
      response.commands.push_back(std::move(command));
    }
    return response;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace hitchfront::wire
