#include "wire/batch.hpp"

#include <cmath>
#include <map>

#include "wire/base64.hpp"
#include "wire/varint.hpp"

namespace hitchfront::wire {
namespace {

// A name is written in full the first time and by its number from then on.
class NameWriter {
 public:
  void put(std::string& out, const std::string& name) {
    const auto [it, first] = numbers_.emplace(name, numbers_.size() + 1);
    put_varint(out, first ? 0 : it->second);
    if (first) put_text(out, name);
  }

 private:
  std::map<std::string, std::uint64_t> numbers_;
};
class NameReader {
 public:
  std::optional<std::string> get(VarintReader& in) {
    const auto n = in.integer();
    if (!in.ok() || n > names_.size()) return std::nullopt;
    if (n > 0) return names_[n - 1];
    names_.emplace_back(in.text());
    return in.ok() ? std::optional(names_.back()) : std::nullopt;
  }

 private:
  std::vector<std::string> names_;
};

// Attempts are a leader's term above a count: two small numbers.
constexpr int kHalf = 32;
void put_attempt(std::string& out, std::uint64_t a) {
  put_varint(out, a >> kHalf);
  put_varint(out, a & 0xffffffffU);
}
std::uint64_t get_attempt(VarintReader& in) {
  const auto high = in.integer();
  return high << kHalf | (in.integer() & 0xffffffffU);
}

// Times in milliseconds, rounded up: a grace must not get shorter on its way.
std::uint64_t millis(double s) {
  return s > 0 ? static_cast<std::uint64_t>(std::ceil(s * 1000 - 1e-6)) : 0;
}
double seconds(std::uint64_t ms) {
  return static_cast<double>(ms) / 1000;
}

void put(std::string& out, NameWriter& names, std::uint64_t id, const Heartbeat& r) {
  put_varint(out, id);
  put_text(out, r.machine);
  put_text(out, r.addr);
  names.put(out, r.type);
  names.put(out, r.zone);
  put_varint(out, r.spot ? 1 : 0);
  put_varint(out, r.incarnation);
  put_varint(out, r.seq);
  put_varint(out, r.fencing_token);
  put_varint(out, r.notice_s ? millis(*r.notice_s) + 1 : 0);
  put_varint(out, r.tasks.size());
  for (const auto& t : r.tasks) {
    names.put(out, t.job);
    put_varint(out, t.task);
    put_attempt(out, t.attempt);
    put_varint(out, static_cast<std::uint64_t>(t.state) | static_cast<std::uint64_t>(t.cause) << 2 |
                        (t.saved ? 1ULL : 0ULL) << 5);
  }
}

void put(std::string& out, NameWriter& names, const RelayedResponse& a) {
  put_varint(out, a.id);
  put_varint(out, static_cast<std::uint64_t>(a.status));
  if (a.status != 200) return put_text(out, a.body);
  put_varint(out, a.commands.fencing_token);
  put_varint(out, a.commands.commands.size());
  for (const auto& c : a.commands.commands) {
    put_varint(out, static_cast<std::uint64_t>(c.op));
    names.put(out, c.job);
    put_varint(out, c.task);
    put_attempt(out, c.attempt);
    if (c.op == Command::Op::stop) put_varint(out, millis(c.grace_s));
  }
}

// Appends items while the text stays within `most`, and takes them out of `items`.
template <class T, class F>
std::string pack(std::vector<T>& items, std::size_t most, F write) {
  std::string bytes;
  NameWriter names;
  std::size_t n = 0;
  for (; n < items.size(); ++n) {
    const auto before = bytes.size();
    write(bytes, names, items[n]);
    if (n > 0 && (bytes.size() + 2) / 3 * 4 > most) {
      bytes.resize(before);
      break;
    }
  }
  items.erase(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(n));
  return to_base64(bytes);
}

}  // namespace

std::string encode_heartbeats(std::vector<std::pair<std::uint64_t, Heartbeat>>& heartbeats,
                              std::size_t most) {
  return pack(heartbeats, most, [](std::string& out, NameWriter& names, const auto& r) {
    put(out, names, r.first, r.second);
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
    Heartbeat r;
    const auto id = in.integer();
    r.machine = in.text();
    r.addr = in.text();
    const auto type = names.get(in), zone = names.get(in);
    if (!type || !zone) return std::nullopt;
    r.type = *type;
    r.zone = *zone;
    r.spot = in.integer() != 0;
    r.incarnation = in.integer();
    r.seq = in.integer();
    r.fencing_token = in.integer();
    if (const auto notice = in.integer(); notice > 0) r.notice_s = seconds(notice - 1);
    const auto tasks = in.integer();
    for (std::uint64_t i = 0; i < tasks; ++i) {
      TaskStatus t;
      const auto job = names.get(in);
      if (!job) return std::nullopt;
      t.job = *job;
      t.task = static_cast<std::uint32_t>(in.integer());
      t.attempt = get_attempt(in);
      const auto how = in.integer();
      if (!in.ok() || (how >> 2 & 7) > static_cast<std::uint64_t>(Cause::unknown))
        return std::nullopt;
      t.state = static_cast<TaskState>(how & 3);
      t.cause = static_cast<Cause>(how >> 2 & 7);
      t.saved = (how >> 5 & 1) != 0;
      r.tasks.push_back(std::move(t));
    }
    if (!in.ok()) return std::nullopt;
    out.emplace_back(id, std::move(r));
  }
  return out;
}

std::string encode_responses(std::vector<RelayedResponse>& answers, std::size_t most) {
  return pack(answers, most,
              [](std::string& out, NameWriter& names, const auto& a) { put(out, names, a); });
}

std::optional<std::vector<RelayedResponse>> decode_responses(std::string_view text) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  VarintReader in(*bytes);
  NameReader names;
  std::vector<RelayedResponse> out;
  while (!in.at_end()) {
    RelayedResponse a;
    a.id = in.integer();
    a.status = static_cast<int>(in.integer());
    if (a.status != 200) {
      a.body = in.text();
    } else {
      a.commands.fencing_token = in.integer();
      const auto n = in.integer();
      for (std::uint64_t i = 0; i < n; ++i) {
        Command c;
        const auto op = in.integer();
        const auto job = names.get(in);
        if (!job || op > static_cast<std::uint64_t>(Command::Op::forget)) return std::nullopt;
        c.op = static_cast<Command::Op>(op);
        c.job = *job;
        c.task = static_cast<std::uint32_t>(in.integer());
        c.attempt = get_attempt(in);
        if (c.op == Command::Op::stop) c.grace_s = seconds(in.integer());
        a.commands.commands.push_back(std::move(c));
      }
    }
    if (!in.ok()) return std::nullopt;
    out.push_back(std::move(a));
  }
  return out;
}

}  // namespace hitchfront::wire
