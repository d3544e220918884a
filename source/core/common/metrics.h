#ifndef CORE_COMMON_METRICS_H_
#define CORE_COMMON_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/common/time.h"

namespace jujuberock::common {

// A metric that only increases.
class Counter {
 public:
  void Add(uint64_t amount = 1) {
    this->total.fetch_add(amount, std::memory_order_relaxed);
  }
  uint64_t value() const { return this->total.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> total{0};
};

// A metric that can rise and fall.
class Gauge {
 public:
  void Set(int64_t level) {
    this->level.store(level, std::memory_order_relaxed);
  }
  void Add(int64_t amount) {
    this->level.fetch_add(amount, std::memory_order_relaxed);
  }
  int64_t value() const { return this->level.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> level{0};
};

// Histogram of durations. The upper bounds of its buckets double from 0.125 ms
// to about 131 s.
class DurationHistogram {
 public:
  static constexpr size_t kBuckets = 21;
  static constexpr Duration kFirstBound{125};

  void Observe(Duration duration);
  uint64_t count() const;
  Duration sum() const;
  // Number of observations up to the upper bound of this bucket.
  uint64_t CumulativeCount(size_t bucket) const;
  static Duration UpperBoundOf(size_t bucket);

 private:
  std::array<std::atomic<uint64_t>, kBuckets + 1> buckets{};
  std::atomic<uint64_t> total_us{0};
};

struct Label {
  std::string name;
  std::string value;
};

// Creates and owns metrics. References stay valid for the lifetime of the
// registry, so hot paths look a metric up once and keep the reference.
// Thread-safe.
class MetricRegistry {
 public:
  // `name` is a Prometheus metric name. Creates the metric if it does not
  // exist.
  Counter& GetCounter(std::string_view name, std::vector<Label> labels = {});
  Gauge& GetGauge(std::string_view name, std::vector<Label> labels = {});
  DurationHistogram& GetHistogram(std::string_view name,
                                  std::vector<Label> labels = {});

  // Renders all metrics in the Prometheus text format, durations in seconds.
  std::string RenderPrometheus() const;

 private:
  template <typename Metric>
  using Family = std::map<std::string, std::map<std::string, Metric>>;

  mutable RankedMutex mutex{LockRank::kCounters};
  Family<Counter> counters;
  Family<Gauge> gauges;
  Family<DurationHistogram> histograms;
};

}  // namespace jujuberock::common

#endif  // CORE_COMMON_METRICS_H_
