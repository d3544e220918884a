#ifndef CORE_SERVE_IN_FLIGHT_REQUESTS_H_
#define CORE_SERVE_IN_FLIGHT_REQUESTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::serve {

// Tracks which requests of this host run at which endpoint, so that all of them
// are marked as suspects when it crashes. Thread-safe.
class InFlightRequests {
 public:
  using Id = uint64_t;

  void Add(std::string_view endpoint,
           Id id,
           suspects::Fingerprint fingerprint) {
    common::RankedLock lock(this->mutex);
    this->running[std::string(endpoint)][id] = fingerprint;
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
  std::vector<suspects::Fingerprint> TakeCrashed(std::string_view endpoint) {
    common::RankedLock lock(this->mutex);
    std::vector<suspects::Fingerprint> fingerprints;
    const auto found = this->running.find(endpoint);
    if (found == this->running.end())
      return fingerprints;
    for (const auto& [id, fingerprint] : found->second)
      fingerprints.push_back(fingerprint);
    this->running.erase(found);
    return fingerprints;
  }

 private:
  using Requests = std::unordered_map<Id, suspects::Fingerprint>;

  common::RankedMutex mutex{common::LockRank::kServe};
  std::map<std::string, Requests, std::less<>> running;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_IN_FLIGHT_REQUESTS_H_
