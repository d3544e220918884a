#ifndef STANDIN_CACHE_STORE_STANDIN_H_
#define STANDIN_CACHE_STORE_STANDIN_H_

#include <string>

#include "core/common/time.h"
#include "standin/block_tiers.h"
#include "standin/http_json.h"
#include "standin/standin.h"
#include "standin/token_bucket.h"

namespace jujuberock::standin {

struct CacheStoreOptions {
  TierOptions tiers;
  // Link bandwidth in each direction; zero means unlimited.
  double link_bytes_per_s = 100e6;
  common::Duration disk_latency = std::chrono::milliseconds(5);
};

// Simulates a cache store, section 5.4 of the design. If a block is evicted or
// replaced while it is being read, the response is cut off. `?generation=N`
// restricts a read to that generation. POST /control/faults injects faults with
// any of `link_bytes_per_s`, `occupied_bytes`, `corrupt` (a key, or "*" for
// every block), `evict` (likewise) and `die`.
class CacheStoreStandin : public Standin {
 public:
  explicit CacheStoreStandin(CacheStoreOptions options);

  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer) override;

 private:
  struct Counts {
    uint64_t sealed = 0;
    uint64_t rejected = 0;
    uint64_t full = 0;
    uint64_t hits = 0;
    uint64_t misses = 0;
    uint64_t cut_reads = 0;
    uint64_t sent_bytes = 0;
    uint64_t received_bytes = 0;
  };

  void Control(const runtime::HttpRequest& request,
               const Target& target,
               runtime::ResponseWriter& writer);
  void SetFaults(const nlohmann::json& faults);
  void Put(const runtime::HttpRequest& request,
           const std::string& key,
           runtime::ResponseWriter& writer);
  void Get(const Target& target, runtime::ResponseWriter& writer);
  void SendBody(const std::string& key,
                const SealedBlock& block,
                runtime::ResponseWriter& writer);
  // Returns the status with the retained events from sequence `since` on.
  nlohmann::json Status(uint64_t since) const;
  uint64_t SimulatedBytes(size_t body_bytes) const {
    return body_bytes * this->options.tiers.bytes_per_body_byte;
  }

  CacheStoreOptions options;
  BlockTiers tiers;
  TokenBucket egress_link;
  TokenBucket ingress_link;
  Counts counts;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_CACHE_STORE_STANDIN_H_
