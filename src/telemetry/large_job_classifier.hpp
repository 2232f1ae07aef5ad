// Identifies the largest jobs of each job class: those whose total processor request ranks in the
// top tenth of the class's most recent jobs. The leader feeds it every job that it loads or
// accepts. Performs no I/O.
#pragma once
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace hitchfront::telemetry {

class LargeJobClassifier {
 public:
  // Tracks up to `max_classes` classes separately, and all others as one.
  explicit LargeJobClassifier(std::size_t max_classes) : max_classes_(max_classes) {}
  // Records a job and returns whether it is large. `size` is the processors requested by all its
  // tasks together.
  bool classify(const std::string& job_class, double size);

 private:
  static constexpr std::size_t kWindowSize = 100;  // jobs per class
  std::size_t max_classes_;
  std::map<std::string, std::deque<double>> sizes_by_class_;  // oldest first
};

}  // namespace hitchfront::telemetry
