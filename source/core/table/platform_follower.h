#ifndef CORE_TABLE_PLATFORM_FOLLOWER_H_
#define CORE_TABLE_PLATFORM_FOLLOWER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/common/time.h"
#include "core/table/types.h"

namespace jujuberock::table {

struct FollowerOptions {
  // A watch is replaced by a fresh one this often; the fresh one returns what
  // the old one may have kept back. It costs one call for each kind.
  common::Duration watch_lifetime = std::chrono::seconds(2);
  // A watch that delivers nothing at all for this long, not even a keep-alive
  // line, counts as silent, and the kind is listed. Longer than the platform's
  // keep-alive of 1 s. At the target sizes a list has some 500 KB, so silent
  // watches there cost more than the control budget.
  common::Duration silence_limit = std::chrono::milliseconds(1500);
  // Every kind is listed this often even when all seems well.
  common::Duration list_period = std::chrono::minutes(30);
  // Wait after a call that failed.
  common::Duration retry_after = std::chrono::milliseconds(500);
};

// A call to make. Its end is reported with the same `epoch`.
struct FollowAction {
  enum class Type { kList, kWatch };
  Type type;
  Kind kind;
  // Where a watch goes on from.
  Version since = 0;
  uint64_t epoch = 0;
};

// Decides which lists and watches one of the two delegates of a zone makes.
// Each kind is listed first, then watched from the list's version. Not
// thread-safe.
class PlatformFollower {
 public:
  explicit PlatformFollower(FollowerOptions options) : options(options) {}

  const FollowerOptions& follower_options() const { return this->options; }

  // `follow` tells whether this host acts for its zone, or still lacks a
  // configuration. Call it every 100 ms or so.
  std::vector<FollowAction> OnTick(common::TimePoint now, bool follow);

  // A list was read; `version` is nothing when the call failed.
  void OnListEnd(const FollowAction& action,
                 std::optional<Version> version,
                 common::TimePoint now);
  // A watch delivered a change.
  void OnChange(const FollowAction& action, Version version);
  // A watch ended; nothing when it could not be opened.
  void OnWatchEnd(const FollowAction& action,
                  std::optional<platform::WatchEnd> end,
                  common::TimePoint now);

  // Whether the call's result is still wanted.
  bool IsCurrent(const FollowAction& action) const;

  // Every kind has been listed at least once.
  bool complete() const;

  // Time of the last successful contact with the platform.
  std::optional<common::TimePoint> last_contact() const {
    return this->contact;
  }

 private:
  struct KindState {
    bool in_call = false;
    bool needs_list = true;
    bool listed_once = false;
    Version since = 0;
    common::TimePoint listed_at;
    common::TimePoint not_before;
    uint64_t epoch = 0;
  };

  KindState& StateOf(const FollowAction& action) {
    return this->kinds[static_cast<size_t>(action.kind)];
  }
  void Abandon();

  FollowerOptions options;
  bool following = false;
  std::array<KindState, kKinds> kinds;
  std::optional<common::TimePoint> contact;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_PLATFORM_FOLLOWER_H_
