// Which jobs are among the largest of their class: of its last hundred jobs, and this one, no more
// than a tenth ask for more processors in all. No I/O. Kept by the leader, from the jobs
// that it loads and those that are accepted.
#pragma once
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace hitchfront::telemetry {

class LargeJobClassifier {
 public:
  // `names`: classes that are kept apart; the rest is counted together.
  explicit LargeJobClassifier(std::size_t max_classes) : max_classes_(max_classes) {}
  // Counts the job. `size`: the processors that all its tasks ask for.
  bool classify(const std::string& job_class, double size);

 private:
  static constexpr std::size_t kWindowSize = 100;
  std::size_t max_classes_;
  std::map<std::string, std::deque<double>> sizes_by_class_;  // the newest last
};

}  // namespace hitchfront::telemetry
