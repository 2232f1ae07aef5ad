#include "telemetry/event_aggregator.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::telemetry {
using namespace settings;

std::vector<Entry> EventAggregator::take(Ms now, const Line& line) {
  std::vector<Entry> out{entry(line)};
  const auto& s = spec(line.event);
  if (!s.aggregated) return out;
  auto& g = groups_[static_cast<std::size_t>(line.event)];
  add(now, line, g);
  if (due(now, g)) out.push_back(summary(now, s, g));
  return out;
}

std::vector<Entry> EventAggregator::tick(Ms now) {
  std::vector<Entry> out;
  for (const auto& s : events()) {
    auto& g = groups_[static_cast<std::size_t>(s.event)];
    if (g.period == 0 || now < g.due) continue;
    if (g.count > 0) {
      out.push_back(summary(now, s, g));
    } else if (now - std::max(g.logged_at, g.since) >= kMaxAggregationPeriodMs) {
      g = {};
    } else {  // quiet for a whole period; what comes in bursts keeps its rhythm
      g.due = now + g.period;
    }
  }
  return out;
}

bool EventAggregator::due(Ms now, const Group& g) const {
  if (now >= g.due) return true;
  return g.last_count > 0 && now - g.logged_at >= kMinAggregationPeriodMs &&
         g.count >= kAggregationSurgeFactor * (g.last_count + kMaxAggregatedNames);
}

void EventAggregator::add(Ms now, const Line& line, Group& g) {
  const auto& s = spec(line.event);
  if (g.period == 0) {
    g.period = kMinAggregationPeriodMs;
    g.due = now + g.period;
  }
  if (g.count++ == 0) {
    g.since = now;
    g.listed.assign(s.fields.size(), {});
    g.counted.assign(s.fields.size(), {});
    g.added.assign(s.fields.size(), 0);
  }
  for (std::size_t i = 0; i < line.values.size() && i < s.fields.size(); ++i)
    add_field(s.fields[i].role, line.values[i], i, g);
}

void EventAggregator::add_field(Role role, const Value& value, std::size_t field, Group& g) {
  const auto* text = std::get_if<std::string>(&value);
  const auto* n = std::get_if<std::int64_t>(&value);
  switch (role) {
    case Role::none:
      break;
    case Role::listed:
      if (text != nullptr && g.listed[field].size() < kMaxAggregatedNames)
        g.listed[field].push_back(*text);
      break;
    case Role::counted: {
      if (text == nullptr) break;
      auto& counts = g.counted[field];
      const bool has_place = counts.contains(*text) || counts.size() < kMaxAggregatedGroups;
      ++counts[has_place ? *text : "other"];
      break;
    }
    case Role::added:
      if (n != nullptr) g.added[field] += *n;
      break;
  }
}

Entry EventAggregator::summary(Ms now, const EventSpec& s, Group& g) {
  Entry e;
  e.level = s.level;
  e.event = std::string(s.name) + std::string(kSummarySuffix);
  e.fields.emplace_back("count", value(g.count));
  for (std::size_t i = 0; i < s.fields.size(); ++i) {
    const auto& f = s.fields[i];
    if (f.role == Role::listed) e.fields.emplace_back(f.name, g.listed[i]);
    if (f.role == Role::counted) e.fields.emplace_back(f.name, g.counted[i]);
    if (f.role == Role::added) e.fields.emplace_back(f.name, value(g.added[i]));
  }
  e.fields.emplace_back("over_s", value(static_cast<double>(now - g.since) / 1000));
  const bool surge = now < g.due;
  g.period = surge ? kMinAggregationPeriodMs : std::min(2 * g.period, kMaxAggregationPeriodMs);
  g.due = now + g.period;
  g.logged_at = now;
  g.last_count = g.count;
  g.count = 0;
  return e;
}

}  // namespace hitchfront::telemetry
