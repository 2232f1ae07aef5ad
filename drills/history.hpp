// The history that a drill writes: a JSON line for each event, with its time.
#pragma once
#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "simulators/clock.hpp"

namespace hitchfront::drills {

class History {
 public:
  explicit History(const std::string& file) : out_(file) {}
  // Since the drill began.
  std::int64_t now() const { return since_start_.now(); }
  void add(nlohmann::json event) {
    event["ms"] = now();
    out_ << event.dump() << "\n";
  }

 private:
  std::ofstream out_;
  simulators::Stopwatch since_start_;
};

}  // namespace hitchfront::drills
