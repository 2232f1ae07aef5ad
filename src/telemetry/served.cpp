#include "telemetry/served.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::telemetry {

const char* name(By by) {
  return by == By::team ? "team" : by == By::largest ? "largest" : "class";
}

// Users write the names of classes: however many there are, the rows are bounded.
Served::Kept& Served::kept(By by, const std::string& name) {
  if (const auto it = kept_.find({by, name}); it != kept_.end()) return it->second;
  const auto n = static_cast<std::size_t>(std::count_if(
      kept_.begin(), kept_.end(), [&](const auto& k) { return k.first.first == by; }));
  auto& k = kept_[{by, n < limits_.names ? name : "other"}];
  k.row.by = by;
  k.row.name = n < limits_.names ? name : "other";
  return k;
}

void Served::fade(Ms now, Kept& k) const {
  const double by =
      std::exp2(-static_cast<double>(now - k.faded) / static_cast<double>(limits_.fade));
  if (k.faded != 0) {
    k.over_all *= by;
    k.over_started *= by;
  }
  k.faded = now;
}

void Served::accepted(const Who& who) {
  each(who, [](Kept& k) { ++k.row.accepted; });
}

void Served::started(const Who& who) {
  each(who, [](Kept& k) { ++k.row.started; });
}

void Served::over(Ms now, const Who& who, bool cancelled, bool ran) {
  each(who, [&](Kept& k) {
    ++(cancelled ? k.row.cancelled : k.row.done);
    fade(now, k);
    if (cancelled && !ran) return;
    ++k.over_all;
    if (ran) ++k.over_started;
  });
}

std::vector<Served::Row> Served::look(Ms now, const std::vector<Open>& open) {
  for (auto& [key, k] : kept_) {
    k.row.waiting = 0;
    k.row.oldest_s = k.due = k.due_started = 0;
    fade(now, k);
  }
  for (const auto& o : open)
    each(o.who, [&](Kept& k) {
      if (!o.started) {
        ++k.row.waiting;
        k.row.oldest_s = std::max(k.row.oldest_s, static_cast<double>(o.waited) / 1000);
      }
      if (!o.started && o.waited < limits_.due) return;
      ++k.due;
      if (o.started) ++k.due_started;
    });
  std::vector<Row> low;
  for (auto& [key, k] : kept_) {
    const double all = k.over_all + k.due;
    k.row.share = all < 1 ? 1 : (k.over_started + k.due_started) / all;
    if (k.row.share >= limits_.share) {
      k.low_since = k.told = 0;
      continue;
    }
    if (k.low_since == 0) k.low_since = k.told = now;
    if (now - k.told < limits_.low_for) continue;
    k.told = now;
    low.push_back(k.row);
  }
  return low;
}

std::vector<Served::Row> Served::rows() const {
  std::vector<Row> out;
  for (const auto& [key, k] : kept_) out.push_back(k.row);
  return out;
}

}  // namespace hitchfront::telemetry
