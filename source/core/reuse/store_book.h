#ifndef CORE_REUSE_STORE_BOOK_H_
#define CORE_REUSE_STORE_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/catalog/types.h"
#include "core/common/time.h"
#include "core/dispatch/prompt.h"
#include "core/dispatch/stored_part.h"

namespace jujuberock::reuse {

// One change of what a cache store holds. `tokens` is 0 when the part is gone.
struct StoreEvent {
  bool added = false;
  std::string salt;
  std::string part;
  int64_t tokens = 0;
};

// A part as a store names it.
struct StoredPartName {
  std::string salt;
  std::string part;

  friend bool operator==(const StoredPartName&,
                         const StoredPartName&) = default;
};

// The answer to a question for changes.
struct StoreEvents {
  // Changes at each start of the store.
  uint64_t epoch = 0;
  // Where to go on.
  uint64_t next = 0;
  // Events before these were lost.
  bool lost = false;
  // The endpoints' clock, in milliseconds, when the answer was made.
  std::optional<int64_t> clock_ms;
  std::vector<StoreEvent> events;
};

// What decides whether stored parts are worth fetching.
struct FetchTerms {
  dispatch::FetchLimits limits;
  int64_t token_bytes = 0;
  // Link and zone of the engine.
  double engine_link_mbps = 0;
  std::string_view engine_zone;
  // Tokens from the beginning that the engine is thought to hold already.
  int64_t cached_tokens = 0;
  // Reads that end after this time from now are thrown away.
  common::Duration read_time{0};
  // Uniform in [0, 1); decides whether a slow store is tried all the same.
  double chance = 1;
};

// Work for the link of a store.
struct StoreTransfer {
  std::string store;
  double mbit = 0;
};

// Where one request reads and saves the parts of its prompt; one entry a part,
// empty for none.
struct ReusePlan {
  std::vector<std::string> sources;
  std::vector<std::string> targets;
  int64_t source_tokens = 0;
  // Tokens that the engine is to fetch, those that a store has but whose link
  // or answers are too slow, and those that no store is known to have.
  int64_t fetched_tokens = 0;
  int64_t skipped_tokens = 0;
  int64_t absent_tokens = 0;
  // The store that most tokens come from.
  std::string main_source;
  // What the request adds to the work of the stores' links.
  std::vector<StoreTransfer> transfers;
  // Reads that end later are thrown away, on the endpoints' clock.
  std::optional<uint64_t> until_ms;
};

// What this host knows of the cache stores, and which of their parts a request
// may read. Three rules keep every read whole: only parts that the store has
// reported complete are read; a store that does not answer is not read from;
// and after a restart nothing is saved to a store until all reads that were
// begun with knowledge from before have ended. Parts are freed
// only when no host can read them (see Retirement). Not thread-safe.
class StoreBook {
 public:
  // Most time that a read may take from the send on.
  static constexpr common::Duration kReadTime = std::chrono::milliseconds(1200);
  // A store that has answered nothing for this time is not used; more when
  // hosts take turns in asking it.
  static constexpr common::Duration kAnswerAge = std::chrono::milliseconds(900);

  // The stores of the configuration in force.
  void SetStores(const std::vector<catalog::CacheStoreTraits>& stores);
  // Hosts ask each store once in this time, since it answers few at once.
  void SetAskPeriod(common::Duration period);
  // Where to go on asking for events.
  uint64_t NextEvent(std::string_view address) const;

  // `asked_at` is when the question was sent.
  void OnEvents(std::string_view address,
                const StoreEvents& events,
                common::TimePoint asked_at,
                common::TimePoint now);
  void OnNoAnswer(std::string_view address);

  // Another host planned a transfer; stores are named by a hash of their
  // address.
  void OnPeerTransfer(uint64_t store_hash, double mbit, common::TimePoint now);
  void OnPeerFetched(uint64_t store_hash, common::Duration excess);

  // Plans the parts of a prompt and books the transfers.
  ReusePlan Plan(std::string_view salt,
                 const dispatch::Prompt& prompt,
                 const FetchTerms& terms,
                 common::TimePoint now);
  // A request whose parts came mostly from this store had its first token so
  // much later than expected.
  void OnFetched(std::string_view address, common::Duration excess);
  // What stores can give of each part of the prompt.
  std::vector<dispatch::StoredPart> Offer(std::string_view salt,
                                          const dispatch::Prompt& prompt,
                                          const FetchTerms& terms,
                                          common::TimePoint now);
  size_t known_parts() const;

  std::vector<std::string> Addresses() const;
  // Parts of this model that were made by versions below `oldest`, at most
  // `limit`. None while the store does not answer, or has answered for less
  // than `answered_for`.
  std::vector<StoredPartName> OutdatedParts(std::string_view address,
                                            std::string_view model,
                                            uint64_t oldest,
                                            size_t limit,
                                            common::Duration answered_for,
                                            common::TimePoint now) const;
  void OnFreed(std::string_view address,
               const std::vector<StoredPartName>& parts);
  uint64_t EpochOf(std::string_view address) const;
  // A moment on the endpoints' clock, in milliseconds.
  std::optional<uint64_t> EndpointClock(common::TimePoint time) const;

 private:
  struct Saving {
    common::TimePoint since;
    int tries = 0;
  };
  struct Store {
    catalog::CacheStoreTraits traits;
    uint64_t epoch = 0;
    uint64_t next = 0;
    bool answers = false;
    common::TimePoint answered_at;
    // It has answered without a gap since then.
    common::TimePoint answers_since;
    common::TimePoint epoch_seen_at;
    int64_t used_tokens = 0;
    // Mean lateness of the requests that read from it.
    double excess_ms = 0;
    int samples = 0;
    // Transfers of all hosts that wait for the link, in Mbit at `queued_at`.
    double queued_mbit = 0;
    common::TimePoint queued_at;
    // Share of its link that the store seems to deliver.
    double link_share = 1;
    std::unordered_map<std::string, int64_t> parts;
    std::unordered_map<std::string, Saving> saving;
  };

  static std::string KeyOf(std::string_view salt, std::string_view part);
  bool Readable(const Store& store, common::TimePoint now) const;
  // Lateness beyond that of the best store: all are late when engines are.
  double RelativeExcessMs(const Store& store) const;
  // Time that a transfer begun now would wait for the store's link.
  double WaitMs(Store& store, common::TimePoint now) const;
  dispatch::StoredPart OfferOf(Store& store,
                               int64_t tokens,
                               const FetchTerms& terms,
                               common::TimePoint now) const;
  void BookTransfer(Store& store,
                    int64_t tokens,
                    const FetchTerms& terms,
                    common::TimePoint now,
                    ReusePlan& plan) const;
  Store* FindByHash(uint64_t store_hash);
  void NoteExcess(Store& store, common::Duration excess) const;
  bool Savable(const Store& store, common::TimePoint now) const;
  // The store that a part belongs to; the same on every host.
  Store* HomeOf(std::string_view part);
  const Store* HomeOf(std::string_view part) const;
  bool BookSave(Store& store,
                const std::string& key,
                int64_t tokens,
                const FetchTerms& terms,
                common::TimePoint now,
                ReusePlan& plan);

  // Nothing is saved this long after a start of the store was first seen: all
  // reads with knowledge from before have ended by then, on any host.
  common::Duration QuietTime() const;

  common::Duration answer_age = kAnswerAge;
  std::map<std::string, Store, std::less<>> stores;
  // The endpoints' clock minus this host's, in milliseconds.
  std::optional<int64_t> clock_offset_ms;
};

}  // namespace jujuberock::reuse

#endif  // CORE_REUSE_STORE_BOOK_H_
