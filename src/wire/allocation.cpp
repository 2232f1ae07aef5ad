#include "wire/allocation.hpp"

#include <algorithm>

#include "wire/base64.hpp"
#include "wire/job.hpp"
#include "wire/varint.hpp"

namespace hitchfront::wire {
namespace {

constexpr std::uint64_t kVersion = 1;

std::uint64_t zigzag(std::int64_t v) {
  return static_cast<std::uint64_t>(v) << 1 ^ static_cast<std::uint64_t>(v >> 63);
}
std::int64_t unzigzag(std::uint64_t v) {
  return static_cast<std::int64_t>(v >> 1) ^ -static_cast<std::int64_t>(v & 1);
}

}  // namespace

void AllocationWriter::close() {
  if (!any_) return;
  out_ += open_;
  put_varint(out_, groups_n_);
  out_ += groups_;
  groups_.clear();
  groups_n_ = 0;
}

void AllocationWriter::machine(std::string_view name, std::string_view type, std::string_view zone,
                               bool spot, bool up, std::int64_t born_s) {
  close();
  if (!any_) put_varint(out_, kVersion);
  any_ = true;
  open_.clear();
  std::size_t same = 0;
  while (same < name.size() && same < last_name_.size() && name[same] == last_name_[same]) ++same;
  put_varint(open_, same);
  put_text(open_, name.substr(same));
  last_name_ = name;
  const std::string offer =
      std::string(type) + '\n' + std::string(zone) + '\n' + (spot ? '1' : '0');
  const auto it = std::find(offers_.begin(), offers_.end(), offer);
  const auto number =
      it == offers_.end() ? 0 : static_cast<std::uint64_t>(it - offers_.begin()) + 1;
  put_varint(open_, number << 1 | (up ? 1U : 0U));
  if (number == 0) {
    offers_.push_back(offer);
    put_text(open_, type);
    put_text(open_, zone);
    put_varint(open_, spot ? 1 : 0);
  }
  put_varint(open_, zigzag(born_s - last_born_));
  last_born_ = born_s;
}

void AllocationWriter::tasks(std::uint64_t job_key, std::string_view job,
                             const std::vector<std::uint32_t>& tasks) {
  ++groups_n_;
  const auto [it, first] = jobs_.emplace(job_key, jobs_.size() + 1);
  put_varint(groups_, first ? 0 : it->second);
  if (first) put_text(groups_, job);
  // Runs: how many; for each the gap to the last one's end, and its length less one.
  std::string runs;
  std::uint64_t n = 0;
  std::uint32_t end = 0;
  for (std::size_t i = 0; i < tasks.size();) {
    std::size_t to = i + 1;
    while (to < tasks.size() && tasks[to] == tasks[to - 1] + 1) ++to;
    put_varint(runs, tasks[i] - end);
    put_varint(runs, to - i - 1);
    end = tasks[to - 1] + 1;
    ++n;
    i = to;
  }
  put_varint(groups_, n);
  groups_ += runs;
}

std::string AllocationWriter::finish() {
  close();
  return to_base64(out_);
}

std::string encode_allocations(const std::vector<MachineAllocation>& machines) {
  AllocationWriter w;
  std::unordered_map<std::string, std::uint64_t> keys;
  for (const auto& m : machines) {
    w.machine(m.name, m.type, m.zone, m.spot, m.up, m.born_s);
    for (const auto& t : m.tasks)
      w.tasks(keys.emplace(t.job, keys.size()).first->second, t.job, t.tasks);
  }
  return w.finish();
}

std::optional<std::vector<MachineAllocation>> decode_allocations(std::string_view text) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  std::vector<MachineAllocation> out;
  if (bytes->empty()) return out;
  VarintReader in(*bytes);
  if (in.integer() != kVersion) return std::nullopt;
  struct Offer {
    std::string type, zone;
    bool spot;
  };
  std::vector<Offer> offers;
  std::vector<std::string> jobs;
  std::int64_t born = 0;
  std::string name;
  while (!in.at_end()) {
    MachineAllocation m;
    const auto same = in.integer();
    const auto rest = in.text();
    if (!in.ok() || same > name.size()) return std::nullopt;
    name.resize(same);
    name += rest;
    m.name = name;
    const auto how = in.integer();
    m.up = (how & 1) != 0;
    const auto offer = how >> 1;
    if (!in.ok() || offer > offers.size()) return std::nullopt;
    if (offer == 0) {
      Offer o;
      o.type = in.text();
      o.zone = in.text();
      o.spot = in.integer() != 0;
      offers.push_back(std::move(o));
    }
    const auto& o = offer == 0 ? offers.back() : offers[offer - 1];
    m.type = o.type;
    m.zone = o.zone;
    m.spot = o.spot;
    born += unzigzag(in.integer());
    m.born_s = born;
    const auto groups = in.integer();
    if (!in.ok()) return std::nullopt;
    for (std::uint64_t g = 0; g < groups; ++g) {
      MachineAllocation::Tasks t;
      const auto job = in.integer();
      if (!in.ok() || job > jobs.size()) return std::nullopt;
      if (job == 0) jobs.emplace_back(in.text());
      t.job = job == 0 ? jobs.back() : jobs[job - 1];
      const auto runs = in.integer();
      std::uint64_t end = 0;
      for (std::uint64_t r = 0; r < runs; ++r) {
        const auto from = end + in.integer();
        const auto length = in.integer() + 1;
        if (!in.ok() || from >= kMaxTasks || length > kMaxTasks - from) return std::nullopt;
        for (auto at = from; at < from + length; ++at)
          t.tasks.push_back(static_cast<std::uint32_t>(at));
        end = from + length;
      }
      if (!in.ok()) return std::nullopt;
      m.tasks.push_back(std::move(t));
    }
    out.push_back(std::move(m));
  }
  return in.ok() ? std::optional(std::move(out)) : std::nullopt;
}

}  // namespace hitchfront::wire
