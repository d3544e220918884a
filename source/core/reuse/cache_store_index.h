#ifndef CORE_REUSE_CACHE_STORE_INDEX_H_
#define CORE_REUSE_CACHE_STORE_INDEX_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/catalog/homes.h"
#include "core/catalog/types.h"
#include "core/common/time.h"
#include "core/dispatch/prompt.h"
#include "core/dispatch/stored_part.h"
#include "core/reuse/store_link.h"

namespace jujuberock::reuse {

// A part that was added to or removed from a cache store. `tokens` is 0 if it
// was removed.
struct StoreEvent {
  bool added = false;
  std::string salt;
  std::string part;
  int64_t tokens = 0;
};

// Name of a part in a cache store.
struct StoredPartName {
  std::string salt;
  std::string part;

  friend bool operator==(const StoredPartName&,
                         const StoredPartName&) = default;
};

// Answer of a cache store to a poll for changes.
struct StoreEvents {
  // Changes each time the store starts.
  uint64_t epoch = 0;
  // Position at which the next poll continues.
  uint64_t next = 0;
  // Whether events before these were lost.
  bool lost = false;
  // Time of the answer on the endpoints' clock, in milliseconds.
  std::optional<int64_t> clock_ms;
  std::vector<StoreEvent> events;
};

// Conditions that decide whether stored parts are worth fetching.
struct FetchConditions {
  dispatch::FetchLimits limits;
  int64_t token_bytes = 0;
  // Link rate and availability zone of the engine.
  double engine_link_mbps = 0;
  std::string_view engine_zone;
  // Regions whose stores may hold parts of the prompt.
  catalog::Homes homes = {};
  // Length of the prefix that the engine is assumed to have cached, in tokens.
  int64_t cached_tokens = 0;
  // Reads that end later than this from now are discarded.
  common::Duration read_time{0};
  // Uniform random number in [0, 1) that decides whether a slow store is probed
  // nevertheless.
  double chance = 1;
};

// Transfer that occupies the link of a store.
struct StoreTransfer {
  std::string store;
  double mbit = 0;
};

// Stores from which one request reads the parts of its prompt and to which it
// saves them. Both lists have one entry per part, empty for no store.
struct ReusePlan {
  std::vector<std::string> sources;
  std::vector<std::string> targets;
  int64_t source_tokens = 0;
  // Tokens that the engine fetches, tokens that are stored but not worth
  // fetching (slow link, no answer), and tokens that no store is known to hold.
  int64_t fetched_tokens = 0;
  int64_t skipped_tokens = 0;
  int64_t absent_tokens = 0;
  // Time until the last of these tokens has been fetched.
  double fetch_ms = 0;
  // Store of the largest part that is fetched.
  std::string main_source;
  // Transfers that the request adds to the links of the stores.
  std::vector<StoreTransfer> transfers;
  // Reads that end after this time on the endpoints' clock are discarded.
  std::optional<uint64_t> until_ms;
};

// Contents and state of the cache stores as this host knows them. Decides which
// parts a request reads or saves. A part is saved to a store in the zone of the
// engine that read it, and fetched from wherever the stores report it. Three
// rules ensure that a read never returns an incomplete part: only parts that
// the store has reported complete are read; a store that does not answer is not
// read from; and after a store restarts, nothing is saved to it until all reads
// that rely on its former contents have ended. Parts are freed only when no
// host can read them any more (see VersionRetirement). Not thread-safe.
class CacheStoreIndex {
 public:
  // Maximum duration of a read, counted from the send of the request.
  static constexpr common::Duration kMaxReadTime =
      std::chrono::milliseconds(1200);
  // A store is not used if its last answer is older than this. The limit is
  // higher when hosts take turns polling the store (see SetPollPeriod).
  static constexpr common::Duration kMaxAnswerAge =
      std::chrono::milliseconds(900);

  // Sets the stores of the current configuration.
  void SetStores(const std::vector<catalog::CacheStoreProperties>& stores);
  // Sets the period in which the hosts poll each store. It is long when there
  // are many hosts, because a store serves few polls at the same time.
  void SetPollPeriod(common::Duration period);
  // Position at which the next poll for events continues.
  uint64_t NextEvent(std::string_view address) const;

  // `polled_at` is when the poll was sent.
  void OnEvents(std::string_view address,
                const StoreEvents& events,
                common::TimePoint polled_at,
                common::TimePoint now);
  void OnPollFailed(std::string_view address);

  // Events of other hosts: a planned transfer, and the delay of a request that
  // fetched. They identify a store by the hash of its address.
  void OnPeerTransfer(uint64_t store_hash, double mbit, common::TimePoint now);
  void OnPeerFetched(uint64_t store_hash, common::Duration excess);

  // Decides where the parts of a prompt are read and saved, and adds the
  // transfers to the queues of the stores' links.
  ReusePlan Plan(std::string_view salt,
                 const dispatch::Prompt& prompt,
                 const FetchConditions& conditions,
                 common::TimePoint now);
  // The first token of a request that fetched mainly from this store came later
  // than predicted by `excess`.
  void OnFetched(std::string_view address, common::Duration excess);
  // Availability and cost of fetching each part of the prompt.
  std::vector<dispatch::StoredPart> FindStoredParts(
      std::string_view salt,
      const dispatch::Prompt& prompt,
      const FetchConditions& conditions,
      common::TimePoint now);
  size_t known_parts() const;

  std::vector<std::string> Addresses() const;
  // Returns at most `limit` parts of the model with weight versions below
  // `oldest`. Returns none if the store does not answer or has not answered
  // without a gap for `answered_for`.
  std::vector<StoredPartName> OutdatedParts(std::string_view address,
                                            std::string_view model,
                                            uint64_t oldest,
                                            size_t limit,
                                            common::Duration answered_for,
                                            common::TimePoint now) const;
  void OnFreed(std::string_view address,
               const std::vector<StoredPartName>& parts);
  uint64_t EpochOf(std::string_view address) const;
  // Converts `time` to the endpoints' clock, in milliseconds.
  std::optional<uint64_t> ToEndpointClock(common::TimePoint time) const;

 private:
  // Name of a part together with its hash, which all stores' maps share.
  struct HashedKey {
    std::string_view text;
    size_t hash = 0;
  };
  struct KeyHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
    size_t operator()(const HashedKey& key) const { return key.hash; }
  };
  struct KeyEqual {
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const {
      return a == b;
    }
    bool operator()(const HashedKey& a, std::string_view b) const {
      return a.text == b;
    }
    bool operator()(std::string_view a, const HashedKey& b) const {
      return a == b.text;
    }
  };
  struct Store {
    catalog::CacheStoreProperties properties;
    uint64_t epoch = 0;
    uint64_t next = 0;
    bool is_answering = false;
    // When the last answered poll was sent.
    common::TimePoint answered_at;
    // Start of the current period of answers without a gap.
    common::TimePoint answering_since;
    common::TimePoint epoch_seen_at;
    int64_t used_tokens = 0;
    StoreLink link;
    // Tokens of each part.
    std::unordered_map<std::string, int64_t, KeyHash, KeyEqual> parts;
  };
  struct PendingSave {
    common::TimePoint started_at;
    int attempts = 0;
    const Store* store = nullptr;
  };
  // The copy of a part that is the cheapest to fetch.
  struct Copy {
    Store* store = nullptr;
    dispatch::StoredPart part;
  };

  static std::string KeyOf(std::string_view salt, std::string_view part);
  static HashedKey Hashed(std::string_view key);
  bool IsReadable(const Store& store, common::TimePoint now) const;
  double LowestExcessMs() const;
  dispatch::StoredPart StoredPartOf(Store& store,
                                    int64_t tokens,
                                    const FetchConditions& conditions,
                                    common::TimePoint now) const;
  // Returns the readable copy of the part that the engine gets first; its store
  // is null if there is none.
  Copy FindCopy(const std::string& key,
                int64_t tokens,
                const FetchConditions& conditions,
                common::TimePoint now);
  // Plans the fetch of a part from a known copy. Returns whether the part is
  // fetched.
  bool PlanFetch(const Copy& copy,
                 size_t index,
                 int64_t tokens,
                 bool is_cached,
                 const FetchConditions& conditions,
                 common::TimePoint now,
                 ReusePlan& plan);
  // Plans to save the part to the store that suits the engine best, unless a
  // save is in progress.
  void PlanSave(const std::string& key,
                const dispatch::PromptPart& part,
                size_t index,
                const FetchConditions& conditions,
                common::TimePoint now,
                ReusePlan& plan);
  static void QueueTransfer(Store& store,
                            int64_t tokens,
                            const FetchConditions& conditions,
                            common::TimePoint now,
                            ReusePlan& plan);
  Store* FindByHash(uint64_t store_hash);
  bool AcceptsSaves(const Store& store, common::TimePoint now) const;
  bool HasRoom(const Store& store, int64_t tokens) const;
  // The store to save a part to, preferably one in the zone of the engine; null
  // if none accepts it. All hosts prefer the same one.
  Store* ChooseTarget(const std::string& key,
                      const dispatch::PromptPart& part,
                      const FetchConditions& conditions,
                      const Store* excluded,
                      common::TimePoint now);
  void ForgetOldSaves(common::TimePoint now);

  // Time after a restart of a store was first seen during which nothing is
  // saved to it. By its end, all reads that rely on the former contents have
  // ended on every host.
  common::Duration SaveDelayAfterRestart() const;

  common::Duration max_answer_age = kMaxAnswerAge;
  std::map<std::string, Store, std::less<>> stores;
  // Saves that no store has reported complete, by name of the part.
  std::unordered_map<std::string, PendingSave> pending_saves;
  // The endpoints' clock minus this host's, in milliseconds.
  std::optional<int64_t> clock_offset_ms;
};

}  // namespace jujuberock::reuse

#endif  // CORE_REUSE_CACHE_STORE_INDEX_H_
