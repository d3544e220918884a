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

namespace jujuberock::reuse {

// One change of what a cache store holds. `tokens` is 0 when the part is gone.
struct StoreEvent {
  bool added = false;
  std::string salt;
  std::string part;
  int64_t tokens = 0;
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

// Where one request reads and saves the parts of its prompt; one entry a part,
// empty for none.
struct ReusePlan {
  std::vector<std::string> sources;
  std::vector<std::string> targets;
  int64_t source_tokens = 0;
  // Reads that end later are thrown away, on the endpoints' clock.
  std::optional<uint64_t> until_ms;
};

// What this host knows of the cache stores, and which of their parts a request
// may read. Three rules keep every read whole: only parts that the store has
// reported complete are read; a store that does not answer is not read from;
// and after a restart nothing is saved to a store until all reads that were
// begun with knowledge from before have ended. Nothing is ever freed. Not
// thread-safe.
class StoreBook {
 public:
  // Time that a read may take from the send on.
  static constexpr common::Duration kReadTime = std::chrono::milliseconds(1200);
  // A store that has answered nothing for this time is not used.
  static constexpr common::Duration kAnswerAge = std::chrono::milliseconds(900);
  // Nothing is saved this long after a start of the store was first seen.
  static constexpr common::Duration kQuietTime = std::chrono::milliseconds(2500);

  // The stores of the configuration in force.
  void SetStores(const std::vector<catalog::CacheStoreTraits>& stores);
  // Where to go on asking for events.
  uint64_t NextEvent(std::string_view address) const;

  // `asked_at` is when the question was sent.
  void OnEvents(std::string_view address,
                const StoreEvents& events,
                common::TimePoint asked_at,
                common::TimePoint now);
  void OnNoAnswer(std::string_view address);

  // Plans the parts of a prompt and books the saves.
  ReusePlan Plan(std::string_view salt,
                 const dispatch::Prompt& prompt,
                 common::TimePoint now);
  // Tokens from the beginning of the prompt that a store can give.
  int64_t ReadableTokens(std::string_view salt,
                         const dispatch::Prompt& prompt,
                         common::TimePoint now) const;
  size_t known_parts() const;

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
    common::TimePoint epoch_seen_at;
    int64_t used_tokens = 0;
    std::unordered_map<std::string, int64_t> parts;
    std::unordered_map<std::string, Saving> saving;
  };

  static std::string KeyOf(std::string_view salt, std::string_view part);
  bool Readable(const Store& store, common::TimePoint now) const;
  bool Savable(const Store& store, common::TimePoint now) const;
  // The store that a part belongs to; the same on every host.
  Store* HomeOf(std::string_view part);
  const Store* HomeOf(std::string_view part) const;
  bool BookSave(Store& store,
                const std::string& key,
                int64_t tokens,
                common::TimePoint now);

  std::map<std::string, Store, std::less<>> stores;
  // The endpoints' clock minus this host's, in milliseconds.
  std::optional<int64_t> clock_offset_ms;
};

}  // namespace jujuberock::reuse

#endif  // CORE_REUSE_STORE_BOOK_H_
