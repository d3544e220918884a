#include "core/dispatch/retry_window.h"

#include <algorithm>
#include <numeric>

namespace jujuberock::dispatch {

int64_t RetryWindow::StepOf(common::TimePoint now) const {
  const auto step = this->options.window / static_cast<int64_t>(kSteps);
  return now.time_since_epoch() / step;
}

RetryWindow::Counts& RetryWindow::CountsAt(std::string_view service,
                                           common::TimePoint now) {
  auto found = this->services.find(service);
  if (found == this->services.end())
    found = this->services.emplace(std::string(service), Counts()).first;
  Counts& counts = found->second;
  const int64_t step = this->StepOf(now);
  const int64_t passed = std::clamp<int64_t>(step - counts.last_step, 0,
                                             static_cast<int64_t>(kSteps));
  for (int64_t i = 0; i < passed; ++i) {
    const size_t slot = static_cast<size_t>(step - i) % kSteps;
    counts.requests[slot] = 0;
    counts.retries[slot] = 0;
  }
  counts.last_step = std::max(step, counts.last_step);
  return counts;
}

void RetryWindow::OnRequest(std::string_view service, common::TimePoint now) {
  Counts& counts = this->CountsAt(service, now);
  ++counts.requests[static_cast<size_t>(counts.last_step) % kSteps];
}

bool RetryWindow::TryRetry(std::string_view service, common::TimePoint now) {
  Counts& counts = this->CountsAt(service, now);
  const auto sum = [](const auto& values) {
    return std::accumulate(values.begin(), values.end(), 0.0);
  };
  const double allowed =
      kUsedShare * (this->options.ratio * sum(counts.requests) +
                    this->options.slack / static_cast<double>(this->hosts));
  if (sum(counts.retries) + 1 > allowed)
    return false;
  ++counts.retries[static_cast<size_t>(counts.last_step) % kSteps];
  return true;
}

}  // namespace jujuberock::dispatch
