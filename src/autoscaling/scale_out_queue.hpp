// Scale-out requests that the cloud has not finally answered.
#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>

#include "core/effects.hpp"

namespace hitchfront::core {

struct ScaleOutRequest {
  // Idempotency key, never reused: repeating a request under its name rents no further machines.
  std::string name;
  std::size_t offer = 0;  // index in MachineCatalog::offers()
  std::uint32_t count = 0;
  bool in_flight = false;
  Ms retry_at = 0;
};

class ScaleOutQueue {
 public:
  ScaleOutRequest& add(ScaleOutRequest request) {
    requests_.push_back(std::move(request));
    return requests_.back();
  }
  ScaleOutRequest* find(const std::string& name) {
    const auto found = iterator_to(name);
    return found == requests_.end() ? nullptr : &*found;
  }
  void remove(const std::string& name) {
    const auto found = iterator_to(name);
    if (found != requests_.end()) requests_.erase(found);
  }
  auto begin() { return requests_.begin(); }
  auto end() { return requests_.end(); }
  auto begin() const { return requests_.begin(); }
  auto end() const { return requests_.end(); }

 private:
  std::deque<ScaleOutRequest>::iterator iterator_to(const std::string& name) {
    return std::find_if(requests_.begin(), requests_.end(),
                        [&](const ScaleOutRequest& request) { return request.name == name; });
  }
  std::deque<ScaleOutRequest> requests_;
};

}  // namespace hitchfront::core
