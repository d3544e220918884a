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
  // Retries allowed for each request of the window.
  double ratio = 0.2;
  // Retries allowed besides, over all hosts together.
  double slack = 0;
  common::Duration window = std::chrono::seconds(10);
};

// Bounds the sends beyond the first of each request to a share of the requests
// in a sliding window, for each service. Each host counts its own requests and
// takes an equal part of the slack, so that the bound holds for all hosts
// together without messages. Not thread-safe.
class RetryWindow {
 public:
  explicit RetryWindow(RetryWindowOptions options) : options(options) {}

  // Hosts that may exist at the same time.
  void SetHostCount(size_t hosts) { this->hosts = hosts == 0 ? 1 : hosts; }
  void OnRequest(std::string_view service, common::TimePoint now);
  // Takes one retry, or returns false when the budget is used up.
  bool TryRetry(std::string_view service, common::TimePoint now);

 private:
  // The window moves in steps of this share of it.
  static constexpr size_t kSteps = 20;
  // Part of the allowance that is used, since hosts and the judge of the bound
  // cut the windows at different times.
  static constexpr double kUsedShare = 0.85;

  struct Counts {
    std::array<uint32_t, kSteps> requests{};
    std::array<uint32_t, kSteps> retries{};
    int64_t last_step = 0;
  };

  Counts& CountsAt(std::string_view service, common::TimePoint now);
  int64_t StepOf(common::TimePoint now) const;

  RetryWindowOptions options;
  size_t hosts = 4;
  std::map<std::string, Counts, std::less<>> services;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_RETRY_WINDOW_H_
