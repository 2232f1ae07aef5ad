#include "telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <sstream>

#include "telemetry/metric_tables.hpp"

namespace hitchfront::telemetry {
using tables::kCountRows;
using tables::kGaugeRows;
using tables::kHistogramRows;
using tables::kServedRow;

struct Metrics::RegisteredMetrics {
  prometheus::Registry registry;
  std::array<std::vector<prometheus::Counter*>, kCounts> counts;
  std::array<std::vector<prometheus::Gauge*>, kGauges> gauges;
  std::array<std::vector<prometheus::Histogram*>, kHistograms> histograms;
  prometheus::Family<prometheus::Gauge>* served_family = nullptr;
};

namespace {
// Calls `add` with the labels of each series of a row: one series per label value, or one without
// labels.
template <class Row, class Add>
void for_each_series(const Row& row, Add add) {
  if (row.values.empty()) return add(prometheus::Labels{});
  for (const char* value : row.values) add(prometheus::Labels{{row.label, value}});
}
}  // namespace

Metrics::Metrics() : registered_(std::make_unique<RegisteredMetrics>()) {
  auto& registry = registered_->registry;
  for (const auto& row : kCountRows) {
    auto& family = prometheus::BuildCounter().Name(row.name).Help(row.help).Register(registry);
    auto& series = registered_->counts[static_cast<std::size_t>(row.metric)];
    for_each_series(row, [&](const auto& labels) { series.push_back(&family.Add(labels)); });
  }
  for (const auto& row : kGaugeRows) {
    auto& family = prometheus::BuildGauge().Name(row.name).Help(row.help).Register(registry);
    auto& series = registered_->gauges[static_cast<std::size_t>(row.metric)];
    for_each_series(row, [&](const auto& labels) { series.push_back(&family.Add(labels)); });
  }
  registered_->served_family =
      &prometheus::BuildGauge().Name(kServedRow.name).Help(kServedRow.help).Register(registry);
  for (const auto& row : kHistogramRows) {
    auto& family = prometheus::BuildHistogram().Name(row.name).Help(row.help).Register(registry);
    auto& series = registered_->histograms[static_cast<std::size_t>(row.metric)];
    const std::vector<double> bounds(row.bounds.begin(), row.bounds.end());
    for_each_series(row,
                    [&](const auto& labels) { series.push_back(&family.Add(labels, bounds)); });
  }
}

Metrics::~Metrics() = default;

void Metrics::set_served(const std::string& by, const std::string& name, const std::string& state,
                         double v) {
  registered_->served_family->Add({{"by", by}, {"name", name}, {"state", state}}).Set(v);
}

void Metrics::increment(Count metric, std::size_t label, double n) {
  const auto& series = registered_->counts[static_cast<std::size_t>(metric)];
  if (label < series.size()) series[label]->Increment(n);
}

void Metrics::set(Gauge metric, double v, std::size_t label) {
  const auto& series = registered_->gauges[static_cast<std::size_t>(metric)];
  if (label < series.size()) series[label]->Set(v);
}

void Metrics::observe(Histogram metric, double v, std::size_t label) {
  const auto& series = registered_->histograms[static_cast<std::size_t>(metric)];
  if (label < series.size()) series[label]->Observe(v);
}

double Metrics::total(Count metric) const {
  double sum = 0;
  for (const auto* c : registered_->counts[static_cast<std::size_t>(metric)]) sum += c->Value();
  return sum;
}

std::string Metrics::exposition() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registered_->registry.Collect());
  return out.str();
}

namespace {
template <class Row>
MetricSpec spec_of(const Row& row, const char* type) {
  return {row.name, type, row.label, row.help, {row.values.begin(), row.values.end()}};
}
}  // namespace

std::vector<MetricSpec> metrics() {
  std::vector<MetricSpec> out;
  out.reserve(kCountRows.size() + kGaugeRows.size() + 1 + kHistogramRows.size());
  for (const auto& row : kCountRows) out.push_back(spec_of(row, "counter"));
  for (const auto& row : kGaugeRows) out.push_back(spec_of(row, "gauge"));
  out.push_back(spec_of(kServedRow, "gauge"));
  for (const auto& row : kHistogramRows) out.push_back(spec_of(row, "histogram"));
  return out;
}

std::string metrics_markdown() {
  std::string out = "| metric | type | label | means |\n|---|---|---|---|\n";
  for (const auto& metric : metrics()) {
    std::string label = metric.label.empty() ? "" : "`" + metric.label + "`: ";
    for (std::size_t i = 0; i < metric.values.size(); ++i)
      label += (i > 0 ? ", " : "") + metric.values[i];
    out += "| `" + metric.name + "` | " + metric.type + " | " + (label.empty() ? "none" : label) +
           " | " + metric.help + " |\n";
  }
  return out;
}

}  // namespace hitchfront::telemetry
