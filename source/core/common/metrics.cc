#include "core/common/metrics.h"

#include <sstream>

namespace jujuberock::common {

namespace {

std::string EscapeLabelValue(std::string_view value) {
  std::string escaped;
  for (char c : value) {
    if (c == '\\' || c == '"')
      escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    escaped += c;
  }
  return escaped;
}

std::string RenderLabels(const std::vector<Label>& labels) {
  std::string text;
  for (const Label& label : labels) {
    if (!text.empty())
      text += ',';
    text += label.name + "=\"" + EscapeLabelValue(label.value) + '"';
  }
  return text;
}

std::string InBraces(const std::string& labels) {
  return labels.empty() ? std::string() : '{' + labels + '}';
}

std::string WithUpperBound(const std::string& labels,
                           const std::string& bound) {
  const std::string separator = labels.empty() ? "" : ",";
  return '{' + labels + separator + "le=\"" + bound + "\"}";
}

void RenderHistogram(std::ostream& out,
                     const std::string& name,
                     const std::string& labels,
                     const DurationHistogram& histogram) {
  for (size_t i = 0; i < DurationHistogram::kBuckets; ++i) {
    std::ostringstream bound;
    bound << ToSeconds(DurationHistogram::UpperBoundOf(i));
    out << name << "_bucket" << WithUpperBound(labels, bound.str()) << ' '
        << histogram.CumulativeCount(i) << '\n';
  }
  out << name << "_bucket" << WithUpperBound(labels, "+Inf") << ' '
      << histogram.count() << '\n'
      << name << "_sum" << InBraces(labels) << ' ' << ToSeconds(histogram.sum())
      << '\n'
      << name << "_count" << InBraces(labels) << ' ' << histogram.count()
      << '\n';
}

}  // namespace

void DurationHistogram::Observe(Duration duration) {
  size_t bucket = 0;
  while (bucket < kBuckets && duration > UpperBoundOf(bucket))
    ++bucket;
  this->buckets[bucket].fetch_add(1, std::memory_order_relaxed);
  this->total_us.fetch_add(static_cast<uint64_t>(duration.count()),
                           std::memory_order_relaxed);
}

uint64_t DurationHistogram::count() const {
  return this->CumulativeCount(kBuckets);
}

Duration DurationHistogram::sum() const {
  return Duration(
      static_cast<int64_t>(this->total_us.load(std::memory_order_relaxed)));
}

uint64_t DurationHistogram::CumulativeCount(size_t bucket) const {
  uint64_t total = 0;
  for (size_t i = 0; i <= bucket; ++i)
    total += this->buckets[i].load(std::memory_order_relaxed);
  return total;
}

Duration DurationHistogram::UpperBoundOf(size_t bucket) {
  return kFirstBound * (int64_t{1} << bucket);
}

Counter& MetricRegistry::GetCounter(std::string_view name,
                                    std::vector<Label> labels) {
  RankedLock lock(this->mutex);
  return this->counters[std::string(name)][RenderLabels(labels)];
}

Gauge& MetricRegistry::GetGauge(std::string_view name,
                                std::vector<Label> labels) {
  RankedLock lock(this->mutex);
  return this->gauges[std::string(name)][RenderLabels(labels)];
}

DurationHistogram& MetricRegistry::GetHistogram(std::string_view name,
                                                std::vector<Label> labels) {
  RankedLock lock(this->mutex);
  return this->histograms[std::string(name)][RenderLabels(labels)];
}

std::string MetricRegistry::RenderPrometheus() const {
  RankedLock lock(this->mutex);
  std::ostringstream out;
  for (const auto& [name, family] : this->counters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, counter] : family)
      out << name << InBraces(labels) << ' ' << counter.value() << '\n';
  }
  for (const auto& [name, family] : this->gauges) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto& [labels, gauge] : family)
      out << name << InBraces(labels) << ' ' << gauge.value() << '\n';
  }
  for (const auto& [name, family] : this->histograms) {
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [labels, histogram] : family)
      RenderHistogram(out, name, labels, histogram);
  }
  return out.str();
}

}  // namespace jujuberock::common
