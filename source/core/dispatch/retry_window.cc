#include "core/dispatch/retry_window.h"

#include <algorithm>
#include <numeric>

namespace jujuberock::dispatch {

int64_t RetryWindow::BucketOf(common::TimePoint now) const {
  const auto bucket_length =
      this->options.window / static_cast<int64_t>(kBuckets);
  return now.time_since_epoch() / bucket_length;
}

RetryWindow::Counts& RetryWindow::CountsAt(std::string_view service,
                                           common::TimePoint now) {
  auto found = this->services.find(service);
  if (found == this->services.end())
    found = this->services.emplace(std::string(service), Counts()).first;
  Counts& counts = found->second;
  const int64_t bucket = this->BucketOf(now);
  const int64_t advanced = std::clamp<int64_t>(bucket - counts.last_bucket, 0,
                                               static_cast<int64_t>(kBuckets));
  for (int64_t i = 0; i < advanced; ++i) {
    const size_t index = static_cast<size_t>(bucket - i) % kBuckets;
    counts.requests[index] = 0;
    counts.retries[index] = 0;
  }
  counts.last_bucket = std::max(bucket, counts.last_bucket);
  return counts;
}

void RetryWindow::OnRequest(std::string_view service, common::TimePoint now) {
  Counts& counts = this->CountsAt(service, now);
  ++counts.requests[static_cast<size_t>(counts.last_bucket) % kBuckets];
}

void RetryWindow::OnPassedOn(std::string_view service, common::TimePoint now) {
  Counts& counts = this->CountsAt(service, now);
  uint32_t& requests =
      counts.requests[static_cast<size_t>(counts.last_bucket) % kBuckets];
  if (requests > 0)
    --requests;
}

bool RetryWindow::TryRetry(std::string_view service, common::TimePoint now) {
  Counts& counts = this->CountsAt(service, now);
  const auto sum = [](const auto& values) {
    return std::accumulate(values.begin(), values.end(), 0.0);
  };
  const double allowed =
      kSafetyFactor * (this->options.ratio * sum(counts.requests) +
                       this->options.slack / static_cast<double>(this->hosts));
  if (sum(counts.retries) + 1 > allowed)
    return false;
  ++counts.retries[static_cast<size_t>(counts.last_bucket) % kBuckets];
  return true;
}

}  // namespace jujuberock::dispatch
