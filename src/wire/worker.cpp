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
  for (const auto& [n, v] : table)
    if (name == n) return v;
  return std::nullopt;
}
template <class T, std::size_t N>
const char* name_of(const std::pair<const char*, T> (&table)[N], T value) {
  for (const auto& [n, v] : table)
    if (v == value) return n;
  return "";
}

bool split_lot(std::string_view lot, std::string& job, std::uint32_t& task) {
  const auto slash = lot.rfind('/');
  if (slash == std::string_view::npos) return false;
  job = lot.substr(0, slash);
  const char* end = lot.data() + lot.size();
  const auto [p, ec] = std::from_chars(lot.data() + slash + 1, end, task);
  return ec == std::errc() && p == end && valid_job_id(job);
}

json lot_object(const std::string& job, std::uint32_t task, std::uint64_t attempt) {
  return {{"Lot", job + "/" + std::to_string(task)}, {"Try", attempt}};
}

json orders(const std::vector<Command>& commands) {
  json list = json::array();
  for (const auto& c : commands) {
    json o = lot_object(c.job, c.task, c.attempt);
    o["Verb"] = name_of(kOps, c.op);
    if (c.op == Command::Op::stop) o["LeaveS"] = c.grace_s;
    list.push_back(std::move(o));
  }
  return list;
}

}  // namespace

std::string_view name(Cause cause) {
  return name_of(kCauses, cause);
}

std::optional<Heartbeat> parse_heartbeat(std::string_view body) {
  json o = json::parse(body, nullptr, false);
  if (!o.is_object()) return std::nullopt;
  try {
    Heartbeat r;
    r.machine = o.at("Post").get<std::string>();
    r.addr = o.at("Addr").get<std::string>();
    r.type = o.at("Rig").get<std::string>();
    r.zone = o.at("Hall").get<std::string>();
    r.spot = o.at("Loaners").get<bool>();
    r.incarnation = o.at("Tenure").get<std::uint64_t>();
    r.seq = o.at("Tally").get<std::uint64_t>();
    r.fencing_token = o.value("Warrant", std::uint64_t{0});
    if (auto it = o.find("RecallS"); it != o.end() && it->is_number())
      r.notice_s = it->get<double>();
    if (auto it = o.find("Lots"); it != o.end() && it->is_array()) {
      for (const auto& t : *it) {
        TaskStatus task;
        if (!split_lot(t.at("Lot").get_ref<const std::string&>(), task.job, task.task))
          return std::nullopt;
        task.attempt = t.at("Try").get<std::uint64_t>();
        auto state = by_name(kStates, t.at("Status").get_ref<const std::string&>());
        // A state this version does not know still means that the task is there.
        task.state = state.value_or(TaskState::running);
        if (task.state == TaskState::ended) {
          auto cause = t.find("Cause");
          if (cause != t.end() && cause->is_string())
            task.cause =
                by_name(kCauses, cause->get_ref<const std::string&>()).value_or(Cause::error);
          else
            task.cause = Cause::error;
          if (auto k = t.find("Kept"); k != t.end() && k->is_boolean()) task.saved = k->get<bool>();
        }
        r.tasks.push_back(std::move(task));
      }
    }
    return r;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string encode(const Heartbeat& heartbeat) {
  json o = {{"Post", heartbeat.machine}, {"Addr", heartbeat.addr},
            {"Rig", heartbeat.type},     {"Hall", heartbeat.zone},
            {"Loaners", heartbeat.spot}, {"Tenure", heartbeat.incarnation},
            {"Tally", heartbeat.seq},    {"Warrant", heartbeat.fencing_token}};
  o["RecallS"] = heartbeat.notice_s ? json(*heartbeat.notice_s) : json(nullptr);
  json lots = json::array();
  for (const auto& t : heartbeat.tasks) {
    json l = lot_object(t.job, t.task, t.attempt);
    l["Status"] = name_of(kStates, t.state);
    if (t.state == TaskState::ended) l["Cause"] = name_of(kCauses, t.cause);
    if (t.saved) l["Kept"] = true;
    lots.push_back(std::move(l));
  }
  o["Lots"] = std::move(lots);
  return o.dump();
}

std::string encode_heartbeat_response(std::uint64_t fencing_token,
                                      const std::vector<Command>& commands) {
  return json{{"Warrant", fencing_token}, {"Orders", orders(commands)}}.dump();
}

std::string direct_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                            const std::vector<Command>& commands) {
  return json{{"Warrant", fencing_token}, {"Tenure", incarnation}, {"Orders", orders(commands)}}
      .dump();
}

std::string redirect(std::string_view node) {
  json o = json::object();
  if (!node.empty()) o["AnswerTo"] = node;
  return o.dump();
}

std::optional<HeartbeatResponse> parse_heartbeat_response(std::string_view body) {
  json o = json::parse(body, nullptr, false);
  if (!o.is_object()) return std::nullopt;
  try {
    HeartbeatResponse a;
    a.fencing_token = o.at("Warrant").get<std::uint64_t>();
    for (const auto& c : o.at("Orders")) {
      Command cmd;
      if (!split_lot(c.at("Lot").get_ref<const std::string&>(), cmd.job, cmd.task))
        return std::nullopt;
      cmd.attempt = c.at("Try").get<std::uint64_t>();
      auto op = by_name(kOps, c.at("Verb").get_ref<const std::string&>());
      if (!op) return std::nullopt;
      cmd.op = *op;
      cmd.grace_s = c.value("LeaveS", 0.0);
      a.commands.push_back(std::move(cmd));
    }
    return a;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace hitchfront::wire
