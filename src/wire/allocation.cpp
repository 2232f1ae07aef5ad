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

namespace {

// Reads what AllocationWriter wrote. Each part that can't be read makes the whole unreadable.
class AllocationReader {
 public:
  explicit AllocationReader(std::string_view bytes) : in_(bytes) {}

  std::optional<std::vector<MachineAllocation>> read() {
    if (in_.integer() != kVersion) return std::nullopt;
    std::vector<MachineAllocation> machines;
    while (!in_.at_end()) {
      MachineAllocation machine;
      if (!read_machine(machine)) return std::nullopt;
      machines.push_back(std::move(machine));
    }
    if (!in_.ok()) return std::nullopt;
    return machines;
  }

 private:
  struct Offer {
    std::string type, zone;
    bool spot = false;
  };

  bool read_machine(MachineAllocation& machine) {
    if (!read_name(machine) || !read_offer(machine)) return false;
    born_s_ += unzigzag(in_.integer());
    machine.born_s = born_s_;
    const auto groups = in_.integer();
    if (!in_.ok()) return false;
    for (std::uint64_t g = 0; g < groups; ++g) {
      MachineAllocation::Tasks tasks;
      if (!read_job(tasks) || !read_runs(tasks)) return false;
      machine.tasks.push_back(std::move(tasks));
    }
    return true;
  }

  // Names are written by what they have in common with the one before.
  bool read_name(MachineAllocation& machine) {
    const auto same = in_.integer();
    const auto rest = in_.text();
    if (!in_.ok() || same > name_.size()) return false;
    name_.resize(same);
    name_ += rest;
    machine.name = name_;
    return true;
  }

  // An offer by its number, from 1; 0: a new one follows.
  bool read_offer(MachineAllocation& machine) {
    const auto up_and_number = in_.integer();
    machine.up = (up_and_number & 1) != 0;
    const auto number = up_and_number >> 1;
    if (!in_.ok() || number > offers_.size()) return false;
    if (number == 0) {
      Offer offer;
      offer.type = in_.text();
      offer.zone = in_.text();
      offer.spot = in_.integer() != 0;
      offers_.push_back(std::move(offer));
    }
    const auto& offer = number == 0 ? offers_.back() : offers_[number - 1];
    machine.type = offer.type;
    machine.zone = offer.zone;
    machine.spot = offer.spot;
    return true;
  }

  // A job by its number, from 1; 0: its name follows.
  bool read_job(MachineAllocation::Tasks& tasks) {
    const auto number = in_.integer();
    if (!in_.ok() || number > jobs_.size()) return false;
    if (number == 0) jobs_.emplace_back(in_.text());
    tasks.job = number == 0 ? jobs_.back() : jobs_[number - 1];
    return true;
  }

  // Runs of tasks: for each the gap to the last one's end, and its length less one.
  bool read_runs(MachineAllocation::Tasks& tasks) {
    const auto runs = in_.integer();
    std::uint64_t end = 0;
    for (std::uint64_t r = 0; r < runs; ++r) {
      const auto from = end + in_.integer();
      const auto length = in_.integer() + 1;
      if (!in_.ok() || from >= kMaxTasks || length > kMaxTasks - from) return false;
      end = from + length;
      for (auto task = from; task < end; ++task)
        tasks.tasks.push_back(static_cast<std::uint32_t>(task));
    }
    return in_.ok();
  }

  VarintReader in_;
  std::vector<Offer> offers_;
  std::vector<std::string> jobs_;
  std::int64_t born_s_ = 0;
  std::string name_;
};

}  // namespace

std::optional<std::vector<MachineAllocation>> decode_allocations(std::string_view text) {
  const auto bytes = from_base64(text);
  if (!bytes) return std::nullopt;
  if (bytes->empty()) return std::vector<MachineAllocation>{};
  return AllocationReader(*bytes).read();
}

}  // namespace hitchfront::wire
