#include "telemetry/served_share.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::telemetry {

const char* name(By by) {
  return by == By::team ? "team" : by == By::large ? "largest" : "class";
}

// Users write the names of classes: however many there are, the rows are bounded.
ServedShare::Kept& ServedShare::kept(By by, const std::string& name) {
  if (const auto it = kept_.find({by, name}); it != kept_.end()) return it->second;
  const auto n = static_cast<std::size_t>(std::count_if(
      kept_.begin(), kept_.end(), [&](const auto& k) { return k.first.first == by; }));
  auto& k = kept_[{by, n < limits_.names ? name : "other"}];
  k.row.by = by;
  k.row.name = n < limits_.names ? name : "other";
  return k;
}

void ServedShare::fade(Ms now, Kept& k) const {
  const double by =
      std::exp2(-static_cast<double>(now - k.faded) / static_cast<double>(limits_.fade));
  if (k.faded != 0) {
    k.ended_all *= by;
    k.ended_started *= by;
  }
  k.faded = now;
}

void ServedShare::accepted(const Who& who) {
  each(who, [](Kept& k) { ++k.row.accepted; });
}

void ServedShare::started(const Who& who) {
  each(who, [](Kept& k) { ++k.row.started; });
}

void ServedShare::ended(Ms now, const Who& who, bool cancelled, bool ran) {
  each(who, [&](Kept& k) {
    ++(cancelled ? k.row.cancelled : k.row.done);
    fade(now, k);
    if (cancelled && !ran) return;
    ++k.ended_all;
    if (ran) ++k.ended_started;
  });
}

std::vector<ServedShare::Row> ServedShare::look(Ms now, const std::vector<Open>& open) {
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
    const double all = k.ended_all + k.due;
    k.row.share = all < 1 ? 1 : (k.ended_started + k.due_started) / all;
    if (k.row.share >= limits_.share) {
      k.low_since = k.logged_at = 0;
      continue;
    }
    if (k.low_since == 0) k.low_since = k.logged_at = now;
    if (now - k.logged_at < limits_.low_for) continue;
    k.logged_at = now;
    low.push_back(k.row);
  }
  return low;
}

std::vector<ServedShare::Row> ServedShare::rows() const {
  std::vector<Row> out;
  for (const auto& [key, k] : kept_) out.push_back(k.row);
  return out;
}

}  // namespace hitchfront::telemetry
