#ifndef CORE_DISPATCH_RETRY_WINDOW_H_
#define CORE_DISPATCH_RETRY_WINDOW_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/common/time.h"

namespace jujuberock::dispatch {

struct RetryWindowOptions {
  // Retries allowed per request in the window.
  double ratio = 0.2;
  // Additional retries allowed per window, over all hosts together.
  double slack = 0;
  common::Duration window = std::chrono::seconds(10);
};

// Retry budget of each service: limits the retries to a share of the requests
// in a sliding window. Each host counts its own requests and takes an equal
// part of the slack, so the limit holds for all hosts together without any
// exchange of messages. Not thread-safe.
class RetryWindow {
 public:
  explicit RetryWindow(RetryWindowOptions options) : options(options) {}

  // Sets the number of hosts that may exist at the same time.
  void SetHostCount(size_t hosts) { this->hosts = hosts == 0 ? 1 : hosts; }
  void OnRequest(std::string_view service, common::TimePoint now);
  // Another host serves the request, which counts it as its own.
  void OnPassedOn(std::string_view service, common::TimePoint now);
  // Takes one retry from the budget, or returns false if it is used up.
  bool TryRetry(std::string_view service, common::TimePoint now);

 private:
  // The window consists of this many buckets and advances by one at a time.
  static constexpr size_t kBuckets = 20;
  // Share of the allowance that is used. The rest is a margin, because this
  // host, the other hosts and whoever checks the limit start their windows at
  // different times.
  static constexpr double kSafetyFactor = 0.85;

  struct Counts {
    std::array<uint32_t, kBuckets> requests{};
    std::array<uint32_t, kBuckets> retries{};
    int64_t last_bucket = 0;
  };

  Counts& CountsAt(std::string_view service, common::TimePoint now);
  int64_t BucketOf(common::TimePoint now) const;

  RetryWindowOptions options;
  size_t hosts = 4;
  std::map<std::string, Counts, std::less<>> services;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_RETRY_WINDOW_H_
