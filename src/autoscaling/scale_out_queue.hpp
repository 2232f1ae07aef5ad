// Requests for machines that the cloud has not answered for good.
#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>

#include "core/effects.hpp"

namespace hitchfront::core {

struct ScaleOutRequest {
  std::string name;  // never reused: a repeat of the same name rents nothing more
  std::size_t offer = 0;
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
    const auto it = iterator_to(name);
    return it == requests_.end() ? nullptr : &*it;
  }
  void remove(const std::string& name) {
    const auto it = iterator_to(name);
    if (it != requests_.end()) requests_.erase(it);
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
