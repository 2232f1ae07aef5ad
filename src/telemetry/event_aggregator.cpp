#include "telemetry/event_aggregator.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::telemetry {
using namespace settings;

std::vector<Entry> EventAggregator::process(Ms now, const Line& line) {
  std::vector<Entry> out{entry(line)};
  const auto& event_spec = spec(line.event);
  if (!event_spec.aggregated) return out;
  auto& group = groups_[static_cast<std::size_t>(line.event)];
  add(now, line, group);
  if (is_summary_due(now, group)) out.push_back(summary(now, event_spec, group));
  return out;
}

std::vector<Entry> EventAggregator::tick(Ms now) {
  std::vector<Entry> out;
  for (const auto& event_spec : events()) {
    auto& group = groups_[static_cast<std::size_t>(event_spec.event)];
    if (group.period_ms == 0 || now < group.due_at) continue;
    if (group.count > 0) {
      out.push_back(summary(now, event_spec, group));
    } else if (now - std::max(group.logged_at, group.first_line_at) >= kMaxAggregationPeriodMs) {
      group = {};
    } else {  // no events in this period: keep the period, as events may arrive in bursts
      group.due_at = now + group.period_ms;
    }
  }
  return out;
}

bool EventAggregator::is_summary_due(Ms now, const Group& group) const {
  if (now >= group.due_at) return true;
  return group.last_count > 0 && now - group.logged_at >= kMinAggregationPeriodMs &&
         group.count >= kAggregationSurgeFactor * (group.last_count + kMaxAggregatedNames);
}

void EventAggregator::add(Ms now, const Line& line, Group& group) {
  const auto& event_spec = spec(line.event);
  if (group.period_ms == 0) {
    group.period_ms = kMinAggregationPeriodMs;
    group.due_at = now + group.period_ms;
  }
  if (group.count++ == 0) {
    group.first_line_at = now;
    group.listed.assign(event_spec.fields.size(), {});
    group.counted.assign(event_spec.fields.size(), {});
    group.summed.assign(event_spec.fields.size(), 0);
  }
  for (std::size_t i = 0; i < line.values.size() && i < event_spec.fields.size(); ++i)
    add_field(event_spec.fields[i].aggregation, line.values[i], i, group);
}

void EventAggregator::add_field(Aggregation aggregation, const Value& value, std::size_t field,
                                Group& group) {
  const auto* text = std::get_if<std::string>(&value);
  const auto* number = std::get_if<std::int64_t>(&value);
  switch (aggregation) {
    case Aggregation::none:
      break;
    case Aggregation::listed:
      if (text != nullptr && group.listed[field].size() < kMaxAggregatedNames)
        group.listed[field].push_back(*text);
      break;
    case Aggregation::counted: {
      if (text == nullptr) break;
      auto& counts = group.counted[field];
      const bool has_room = counts.contains(*text) || counts.size() < kMaxAggregatedGroups;
      ++counts[has_room ? *text : "other"];
      break;
    }
    case Aggregation::summed:
      if (number != nullptr) group.summed[field] += *number;
      break;
  }
}

Entry EventAggregator::summary(Ms now, const EventSpec& event_spec, Group& group) {
  Entry entry;
  entry.level = event_spec.level;
  entry.event = std::string(event_spec.name) + std::string(kSummarySuffix);
  entry.fields.emplace_back("count", value(group.count));
  for (std::size_t i = 0; i < event_spec.fields.size(); ++i) {
    const auto& field = event_spec.fields[i];
    if (field.aggregation == Aggregation::listed)
      entry.fields.emplace_back(field.name, group.listed[i]);
    if (field.aggregation == Aggregation::counted)
      entry.fields.emplace_back(field.name, group.counted[i]);
    if (field.aggregation == Aggregation::summed)
      entry.fields.emplace_back(field.name, value(group.summed[i]));
  }
  entry.fields.emplace_back("over_s", value(static_cast<double>(now - group.first_line_at) / 1000));
  const bool is_surge = now < group.due_at;
  group.period_ms =
      is_surge ? kMinAggregationPeriodMs : std::min(2 * group.period_ms, kMaxAggregationPeriodMs);
  group.due_at = now + group.period_ms;
  group.logged_at = now;
  group.last_count = group.count;
  group.count = 0;
  return entry;
}

}  // namespace hitchfront::telemetry
