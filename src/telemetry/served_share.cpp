#include "telemetry/served_share.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::telemetry {

const char* name(By by) {
  return by == By::team ? "team" : by == By::large ? "largest" : "class";
}

// Users write the names of classes: however many there are, the rows are bounded.
ServedShare::Tracked& ServedShare::tracked(By by, const std::string& name) {
  if (const auto it = tracked_.find({by, name}); it != tracked_.end()) return it->second;
  const auto names = static_cast<std::size_t>(std::count_if(
      tracked_.begin(), tracked_.end(), [&](const auto& t) { return t.first.first == by; }));
  const std::string row_name = names < limits_.names ? name : "other";
  auto& t = tracked_[{by, row_name}];
  t.row.by = by;
  t.row.name = row_name;
  return t;
}

void ServedShare::decay(Ms now, Tracked& t) const {
  const double by =
      std::exp2(-static_cast<double>(now - t.decayed_at) / static_cast<double>(limits_.fade));
  if (t.decayed_at != 0) {
    t.ended_all *= by;
    t.ended_started *= by;
  }
  t.decayed_at = now;
}

void ServedShare::accepted(const Who& who) {
  each(who, [](Tracked& t) { ++t.row.accepted; });
}

void ServedShare::started(const Who& who) {
  each(who, [](Tracked& t) { ++t.row.started; });
}

void ServedShare::ended(Ms now, const Who& who, bool cancelled, bool ran) {
  each(who, [&](Tracked& t) {
    ++(cancelled ? t.row.cancelled : t.row.done);
    decay(now, t);
    if (cancelled && !ran) return;
    ++t.ended_all;
    if (ran) ++t.ended_started;
  });
}

void ServedShare::clear_due(Tracked& t) {
  t.row.waiting = 0;
  t.row.oldest_s = t.due = t.due_started = 0;
}

void ServedShare::count_open(const Open& open, Tracked& t) const {
  if (!open.started) {
    ++t.row.waiting;
    t.row.oldest_s = std::max(t.row.oldest_s, static_cast<double>(open.waited) / 1000);
  }
  if (!open.started && open.waited < limits_.due) return;
  ++t.due;
  if (open.started) ++t.due_started;
}

bool ServedShare::is_due_for_logging(Ms now, Tracked& t) const {
  if (t.row.share >= limits_.share) {
    t.low_since = t.logged_at = 0;
    return false;
  }
  if (t.low_since == 0) t.low_since = t.logged_at = now;
  if (now - t.logged_at < limits_.low_for) return false;
  t.logged_at = now;
  return true;
}

std::vector<ServedShare::Row> ServedShare::look(Ms now, const std::vector<Open>& open) {
  for (auto& [key, t] : tracked_) {
    clear_due(t);
    decay(now, t);
  }
  for (const auto& job : open) each(job.who, [&](Tracked& t) { count_open(job, t); });
  std::vector<Row> low;
  for (auto& [key, t] : tracked_) {
    const double all = t.ended_all + t.due;
    t.row.share = all < 1 ? 1 : (t.ended_started + t.due_started) / all;
    if (is_due_for_logging(now, t)) low.push_back(t.row);
  }
  return low;
}

std::vector<ServedShare::Row> ServedShare::rows() const {
  std::vector<Row> out;
  out.reserve(tracked_.size());
  for (const auto& [key, t] : tracked_) out.push_back(t.row);
  return out;
}

}  // namespace hitchfront::telemetry
