// Virtual time and what happens at which moment of it.
#pragma once
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace hitchfront::testing {

class EventQueue {
 public:
  using Action = std::function<void()>;

  std::int64_t now() const { return now_; }  // ms since the simulation's start
  // Actions of the same moment run in the order in which they were added.
  void at(std::int64_t when, Action action) { events_.push({when, order_++, std::move(action)}); }
  void after(std::int64_t delay, Action action) { at(now_ + delay, std::move(action)); }
  // Runs what is due, also what is added for this moment meanwhile.
  void run_due() {
    while (!events_.empty() && events_.top().when <= now_) {
      const auto action = events_.top().action;
      events_.pop();
      action();
    }
  }
  void advance(std::int64_t ms) { now_ += ms; }

 private:
  struct Event {
    std::int64_t when;
    std::uint64_t order;
    Action action;
    bool operator>(const Event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  std::int64_t now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace hitchfront::testing
