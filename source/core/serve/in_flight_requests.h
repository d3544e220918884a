#ifndef CORE_SERVE_IN_FLIGHT_REQUESTS_H_
#define CORE_SERVE_IN_FLIGHT_REQUESTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/common/time.h"
#include "core/suspects/part_suspects.h"

namespace jujuberock::serve {

struct InFlightRequest {
  suspects::Fingerprint fingerprint = 0;
  // Fingerprints of the prompt's parts.
  std::vector<suspects::Fingerprint> parts;
  common::TimePoint sent_at;
};

// Tracks which requests of this host run at which endpoint, so that all of them
// and their parts are marked as suspects when it crashes. Thread-safe.
class InFlightRequests {
 public:
  using Id = uint64_t;

  void Add(std::string_view endpoint, Id id, InFlightRequest request) {
    common::RankedLock lock(this->mutex);
    this->running[std::string(endpoint)][id] = std::move(request);
  }

  void Remove(std::string_view endpoint, Id id) {
    common::RankedLock lock(this->mutex);
    const auto found = this->running.find(endpoint);
    if (found == this->running.end())
      return;
    found->second.erase(id);
    if (found->second.empty())
      this->running.erase(found);
  }

  // Removes and returns the requests at an endpoint that crashed, so that the
  // crash is reported once even if several requests notice it.
  std::vector<InFlightRequest> TakeCrashed(std::string_view endpoint) {
    common::RankedLock lock(this->mutex);
    std::vector<InFlightRequest> requests;
    const auto found = this->running.find(endpoint);
    if (found == this->running.end())
      return requests;
    for (auto& [id, request] : found->second)
      requests.push_back(std::move(request));
    this->running.erase(found);
    return requests;
  }

 private:
  using Requests = std::unordered_map<Id, InFlightRequest>;

  common::RankedMutex mutex{common::LockRank::kServe};
  std::map<std::string, Requests, std::less<>> running;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_IN_FLIGHT_REQUESTS_H_
