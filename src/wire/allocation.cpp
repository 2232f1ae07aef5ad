#include "wire/allocation.hpp"

#include <algorithm>

#include "wire/base64.hpp"
#include "wire/job.hpp"
#include "wire/varint.hpp"

namespace hitchfront::wire {
namespace {

constexpr std::uint64_t kEncodingVersion = 1;

std::uint64_t zigzag(std::int64_t value) {
  return static_cast<std::uint64_t>(value) << 1 ^ static_cast<std::uint64_t>(value >> 63);
}
std::int64_t unzigzag(std::uint64_t value) {
  return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
}

}  // namespace

void AllocationWriter::flush_machine() {
  if (!started_) return;
  out_ += machine_;
  put_varint(out_, group_count_);
  out_ += groups_;
  groups_.clear();
  group_count_ = 0;
}

void AllocationWriter::machine(std::string_view name, std::string_view type, std::string_view zone,
                               bool spot, bool up, std::int64_t billed_since_s) {
  flush_machine();
  if (!started_) put_varint(out_, kEncodingVersion);
  started_ = true;
  machine_.clear();
  std::size_t shared_length = 0;
  while (shared_length < name.size() && shared_length < last_name_.size() &&
         name[shared_length] == last_name_[shared_length])
    ++shared_length;
  put_varint(machine_, shared_length);
  put_text(machine_, name.substr(shared_length));
  last_name_ = name;
  const std::string offer =
      std::string(type) + '\n' + std::string(zone) + '\n' + (spot ? '1' : '0');
  const auto it = std::find(offers_.begin(), offers_.end(), offer);
  const auto number =
      it == offers_.end() ? 0 : static_cast<std::uint64_t>(it - offers_.begin()) + 1;
  put_varint(machine_, number << 1 | (up ? 1U : 0U));
  if (number == 0) {
    offers_.push_back(offer);
    put_text(machine_, type);
    put_text(machine_, zone);
    put_varint(machine_, spot ? 1 : 0);
  }
  put_varint(machine_, zigzag(billed_since_s - last_billed_since_s_));
  last_billed_since_s_ = billed_since_s;
}

void AllocationWriter::tasks(std::uint64_t job_key, std::string_view job,
                             const std::vector<std::uint32_t>& tasks) {
  ++group_count_;
  const auto [it, first] = job_numbers_.emplace(job_key, job_numbers_.size() + 1);
  put_varint(groups_, first ? 0 : it->second);
  if (first) put_text(groups_, job);
  // The number of runs; then for each run the gap since the end of the previous one, and its length
  // minus 1.
  std::string runs;
  std::uint64_t run_count = 0;
  std::uint32_t end = 0;
  for (std::size_t run_begin = 0; run_begin < tasks.size();) {
    std::size_t run_end = run_begin + 1;
    while (run_end < tasks.size() && tasks[run_end] == tasks[run_end - 1] + 1) ++run_end;
    put_varint(runs, tasks[run_begin] - end);
    put_varint(runs, run_end - run_begin - 1);
    end = tasks[run_end - 1] + 1;
    ++run_count;
    run_begin = run_end;
  }
  put_varint(groups_, run_count);
  groups_ += runs;
}

std::string AllocationWriter::finish() {
  flush_machine();
  return to_base64(out_);
}

std::string encode_allocations(const std::vector<MachineAllocation>& machines) {
  AllocationWriter writer;
  std::unordered_map<std::string, std::uint64_t> job_keys;
  for (const auto& machine : machines) {
    writer.machine(machine.name, machine.type, machine.zone, machine.spot, machine.up,
                   machine.billed_since_s);
    for (const auto& group : machine.tasks)
      writer.tasks(job_keys.emplace(group.job, job_keys.size()).first->second, group.job,
                   group.tasks);
  }
  return writer.finish();
}

namespace {

// Decodes the output of AllocationWriter. Any malformed part fails the whole chunk.
class AllocationReader {
 public:
  explicit AllocationReader(std::string_view bytes) : in_(bytes) {}

  std::optional<std::vector<MachineAllocation>> read() {
    if (in_.integer() != kEncodingVersion) return std::nullopt;
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
    billed_since_s_ += unzigzag(in_.integer());
    machine.billed_since_s = billed_since_s_;
    const auto groups = in_.integer();
    if (!in_.ok()) return false;
    for (std::uint64_t g = 0; g < groups; ++g) {
      MachineAllocation::Tasks tasks;
      if (!read_job(tasks) || !read_runs(tasks)) return false;
      machine.tasks.push_back(std::move(tasks));
    }
    return true;
  }

  // A name is the length of the prefix shared with the preceding name, and the remaining
  // characters.
  bool read_name(MachineAllocation& machine) {
    const auto shared_length = in_.integer();
    const auto rest = in_.text();
    if (!in_.ok() || shared_length > name_.size()) return false;
    name_.resize(shared_length);
    name_ += rest;
    machine.name = name_;
    return true;
  }

  // An offer (type, zone, spot) is written in full after number 0, and by its number from then on.
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

  // A job's name is written in full after number 0, and by its number from then on.
  bool read_job(MachineAllocation::Tasks& tasks) {
    const auto number = in_.integer();
    if (!in_.ok() || number > jobs_.size()) return false;
    if (number == 0) jobs_.emplace_back(in_.text());
    tasks.job = number == 0 ? jobs_.back() : jobs_[number - 1];
    return true;
  }

  // Of each run: the gap since the end of the previous one, and its length minus 1.
  bool read_runs(MachineAllocation::Tasks& tasks) {
    const auto runs = in_.integer();
    std::uint64_t end = 0;
    for (std::uint64_t r = 0; r < runs; ++r) {
      const auto begin = end + in_.integer();
      const auto length = in_.integer() + 1;
      if (!in_.ok() || begin >= kMaxTasks || length > kMaxTasks - begin) return false;
      end = begin + length;
      for (auto task = begin; task < end; ++task)
        tasks.tasks.push_back(static_cast<std::uint32_t>(task));
    }
    return in_.ok();
  }

  VarintReader in_;
  std::vector<Offer> offers_;
  std::vector<std::string> jobs_;
  std::int64_t billed_since_s_ = 0;
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
