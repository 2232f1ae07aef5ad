// Samples of a scale run while it goes on, as JSON lines and a table, and the averages over the
// measured time: from when the fleet is full.
#pragma once
#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "scale/controllers.hpp"
#include "scale/result.hpp"
#include "simulators/host.hpp"

namespace hitchfront::scale {

class Progress {
 public:
  // Writes DIRECTORY/progress.jsonl and .tsv.
  Progress(const std::string& directory, simulators::Host& host, Controllers& controllers);

  // What Progress cannot see for itself.
  struct Counts {
    std::uint64_t starts = 0;    // of tasks, so far
    std::size_t running = 0;     // tasks
    std::size_t violations = 0;  // of invariants, so far
  };
  // Writes a line where one is due. `now`: ms since the run's start.
  void tick(std::int64_t now, const Counts& counts);
  void begin_measuring(std::int64_t now, const Counts& counts);
  bool measuring() const { return measured_from_ > 0; }
  // Sets what was measured since then, and the leases lost and leaders of the whole run.
  void fill(Result& result, std::int64_t now) const;

 private:
  void write(std::int64_t now, const Counts& counts, double starts_per_s,
             const ProcessorSample& processors);

  simulators::Host& host_;
  Controllers& controllers_;
  std::ofstream lines_, table_;
  std::int64_t next_at_ = 0;
  std::uint64_t sampled_starts_ = 0;
  std::string last_leader_;
  std::uint64_t leaders_ = 0;
  // Of the measured time.
  std::int64_t measured_from_ = 0;
  simulators::HostTraffic traffic_before_;
  std::uint64_t requests_before_ = 0, writes_before_ = 0, starts_before_ = 0;
  double machines_sum_ = 0, samples_ = 0;
};

}  // namespace hitchfront::scale
