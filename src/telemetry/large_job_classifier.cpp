#include "telemetry/large_job_classifier.hpp"

#include <algorithm>

namespace hitchfront::telemetry {

bool LargeJobClassifier::classify(const std::string& job_class, double size) {
  const bool known = sizes_by_class_.contains(job_class) || sizes_by_class_.size() < max_classes_;
  auto& sizes = sizes_by_class_[known ? job_class : std::string()];
  sizes.push_back(size);
  if (sizes.size() > kWindowSize) sizes.pop_front();
  const auto larger = static_cast<std::size_t>(
      std::count_if(sizes.begin(), sizes.end(), [size](double s) { return s > size; }));
  return larger < std::max<std::size_t>(1, sizes.size() / 10);
}

}  // namespace hitchfront::telemetry
