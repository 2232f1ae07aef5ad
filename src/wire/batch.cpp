#include "wire/batch.hpp"

#include <cmath>
#include <map>

#include "wire/base64.hpp"
#include "wire/varint.hpp"

namespace hitchfront::wire {
namespace {

// A name is written in full on first use, after number 0, and by its number from then on.
class NameWriter {
 public:
  void put(std::string& out, const std::string& name) {
    const auto [number, first] = numbers_.emplace(name, numbers_.size() + 1);
    put_varint(out, first ? 0 : number->second);
    if (first) put_text(out, name);
  }

 private:
  std::map<std::string, std::uint64_t> numbers_;
};
class NameReader {
 public:
  std::optional<std::string> get(VarintReader& in) {
    const auto number = in.integer();
    if (!in.ok() || number > names_.size()) return std::nullopt;
    if (number > 0) return names_[number - 1];
    names_.emplace_back(in.text());
    return in.ok() ? std::optional(names_.back()) : std::nullopt;
  }

 private:
  std::vector<std::string> names_;
};

// An attempt has the leader's term in its upper 32 bits and a counter in its lower 32 bits. Written
// as two small varints.
constexpr int kTermShiftBits = 32;
void put_attempt(std::string& out, std::uint64_t attempt) {
  put_varint(out, attempt >> kTermShiftBits);
  put_varint(out, attempt & 0xffffffffU);
}
std::uint64_t get_attempt(VarintReader& in) {
  const auto high = in.integer();
  return high << kTermShiftBits | (in.integer() & 0xffffffffU);
}

// Durations are rounded up to milliseconds, so that a grace period is never shortened in transit.
std::uint64_t to_milliseconds(double seconds) {
  return seconds > 0 ? static_cast<std::uint64_t>(std::ceil(seconds * 1000 - 1e-6)) : 0;
}
double to_seconds(std::uint64_t ms) {
  return static_cast<double>(ms) / 1000;
}

void put(std::string& out, NameWriter& names, std::uint64_t id, const Heartbeat& heartbeat) {
  put_varint(out, id);
  put_text(out, heartbeat.machine);
  put_text(out, heartbeat.addr);
  names.put(out, heartbeat.type);
  names.put(out, heartbeat.zone);
  put_varint(out, heartbeat.spot ? 1 : 0);
  put_varint(out, heartbeat.incarnation);
  put_varint(out, heartbeat.seq);
  put_varint(out, heartbeat.fencing_token);
  put_varint(out, heartbeat.notice_s ? to_milliseconds(*heartbeat.notice_s) + 1 : 0);
  put_varint(out, heartbeat.tasks.size());
  for (const auto& task : heartbeat.tasks) {
    names.put(out, task.job);
    put_varint(out, task.task);
    put_attempt(out, task.attempt);
    put_varint(out, static_cast<std::uint64_t>(task.state) |
                        static_cast<std::uint64_t>(task.cause) << 2 |
                        (task.saved ? 1ULL : 0ULL) << 5);
  }
}

void put(std::string& out, NameWriter& names, const RelayedResponse& response) {
  put_varint(out, response.id);
  put_varint(out, static_cast<std::uint64_t>(response.status));
  if (response.status != 200) return put_text(out, response.body);
  put_varint(out, response.commands.fencing_token);
  put_varint(out, response.commands.commands.size());
  for (const auto& command : response.commands.commands) {
    put_varint(out, static_cast<std::uint64_t>(command.op));
    names.put(out, command.job);
    put_varint(out, command.task);
    put_attempt(out, command.attempt);
    if (command.op == Command::Op::stop) put_varint(out, to_milliseconds(command.grace_s));
  }
}

// Encodes items while the text has at most `max_size` characters, but at least one if there is any,
// and removes them from `items`.
template <class T, class Write>
std::string pack(std::vector<T>& items, std::size_t max_size, Write write) {
  std::string bytes;
  NameWriter names;
  std::size_t count = 0;
  for (; count < items.size(); ++count) {
    const auto size_before = bytes.size();
    write(bytes, names, items[count]);
    if (count > 0 && (bytes.size() + 2) / 3 * 4 > max_size) {
      bytes.resize(size_before);
      break;
    }
  }
  items.erase(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(count));
  return to_base64(bytes);
}

}  // namespace

std::string encode_heartbeats(std::vector<std::pair<std::uint64_t, Heartbeat>>& heartbeats,
                              std::size_t max_size) {
  return pack(heartbeats, max_size, [](std::string& out, NameWriter& names, const auto& item) {
    put(out, names, item.first, item.second);
  });
}

std::optional<std::vector<std::pair<std::uint64_t, Heartbeat>>> decode_heartbeats(
    std::string_view text) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  VarintReader in(*bytes);
  NameReader names;
  std::vector<std::pair<std::uint64_t, Heartbeat>> out;
  while (!in.at_end()) {
    Heartbeat heartbeat;
    const auto id = in.integer();
    heartbeat.machine = in.text();
    heartbeat.addr = in.text();
    const auto type = names.get(in), zone = names.get(in);
    if (!type || !zone) return std::nullopt;
    heartbeat.type = *type;
    heartbeat.zone = *zone;
    heartbeat.spot = in.integer() != 0;
    heartbeat.incarnation = in.integer();
    heartbeat.seq = in.integer();
    heartbeat.fencing_token = in.integer();
    if (const auto notice = in.integer(); notice > 0) heartbeat.notice_s = to_seconds(notice - 1);
    const auto task_count = in.integer();
    for (std::uint64_t i = 0; i < task_count; ++i) {
      TaskStatus task;
      const auto job = names.get(in);
      if (!job) return std::nullopt;
      task.job = *job;
      task.task = static_cast<std::uint32_t>(in.integer());
      task.attempt = get_attempt(in);
      const auto state_and_cause = in.integer();
      if (!in.ok() || (state_and_cause >> 2 & 7) > static_cast<std::uint64_t>(Cause::unknown))
        return std::nullopt;
      task.state = static_cast<TaskState>(state_and_cause & 3);
      task.cause = static_cast<Cause>(state_and_cause >> 2 & 7);
      task.saved = (state_and_cause >> 5 & 1) != 0;
      heartbeat.tasks.push_back(std::move(task));
    }
    if (!in.ok()) return std::nullopt;
    out.emplace_back(id, std::move(heartbeat));
  }
  return out;
}

std::string encode_responses(std::vector<RelayedResponse>& responses, std::size_t max_size) {
  return pack(responses, max_size, [](std::string& out, NameWriter& names, const auto& response) {
    put(out, names, response);
  });
}

std::optional<std::vector<RelayedResponse>> decode_responses(std::string_view text) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  VarintReader in(*bytes);
  NameReader names;
  std::vector<RelayedResponse> out;
  while (!in.at_end()) {
    RelayedResponse response;
    response.id = in.integer();
    response.status = static_cast<int>(in.integer());
    if (response.status != 200) {
      response.body = in.text();
    } else {
      response.commands.fencing_token = in.integer();
      const auto command_count = in.integer();
      for (std::uint64_t i = 0; i < command_count; ++i) {
        Command command;
        const auto op = in.integer();
        const auto job = names.get(in);
        if (!job || op > static_cast<std::uint64_t>(Command::Op::forget)) return std::nullopt;
        command.op = static_cast<Command::Op>(op);
        command.job = *job;
        command.task = static_cast<std::uint32_t>(in.integer());
        command.attempt = get_attempt(in);
        if (command.op == Command::Op::stop) command.grace_s = to_seconds(in.integer());
        response.commands.commands.push_back(std::move(command));
      }
    }
    if (!in.ok()) return std::nullopt;
    out.push_back(std::move(response));
  }
  return out;
}

}  // namespace hitchfront::wire
