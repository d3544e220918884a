#ifndef CORE_TABLE_PLATFORM_WATCHER_H_
#define CORE_TABLE_PLATFORM_WATCHER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/common/time.h"
#include "core/table/types.h"

namespace jujuberock::table {

struct WatcherOptions {
  // A watch is reopened this often; the new watch delivers changes that the old
  // one may have withheld. This costs one call per kind.
  common::Duration watch_lifetime = std::chrono::seconds(2);
  // A watch that delivers nothing for this long, not even a keep-alive line, is
  // considered silent, and its kind is listed again. Must exceed the platform's
  // keep-alive interval of 1 s. At the target sizes a list takes about 500 KB,
  // so silent watches there exceed the control traffic budget.
  common::Duration silence_limit = std::chrono::milliseconds(1500);
  // Every kind is listed at least this often, even if its watches work.
  common::Duration list_period = std::chrono::minutes(30);
  // Time in which operators write again what a store has lost that came back
  // from a copy. Each kind is listed once more at its end.
  common::Duration rewrite_time = std::chrono::seconds(5);
  // Delay after a failed call.
  common::Duration retry_after = std::chrono::milliseconds(500);
};

// A platform call to make. The result must be reported with this object;
// results with an outdated `epoch` are ignored.
struct WatcherCall {
  enum class Type { kList, kWatch };
  Type type;
  Kind kind;
  // Version from which a watch resumes.
  Version since = 0;
  uint64_t epoch = 0;
};

// Schedules the list and watch calls of a delegate. Each kind is listed first
// and then watched from the version of the list. Not thread-safe.
class PlatformWatcher {
 public:
  explicit PlatformWatcher(WatcherOptions options) : options(options) {}

  const WatcherOptions& watcher_options() const { return this->options; }

  // Returns the calls that are due. `watch` is true if this host is a delegate
  // of its zone or has no complete configuration yet. Call this about every
  // 100 ms.
  std::vector<WatcherCall> OnTick(common::TimePoint now, bool watch);

  // Whether a list of this version may lack rows that the store has lost and
  // that are not written again yet.
  bool MayLackRows(Version version, common::TimePoint now);
  // Reports the end of a list call; `version` is nullopt if the call failed.
  void OnListEnd(const WatcherCall& call,
                 std::optional<Version> version,
                 common::TimePoint now);
  // Reports a change delivered by a watch.
  void OnChange(const WatcherCall& call, Version version);
  // Reports the end of a watch; `end` is nullopt if it could not be opened.
  void OnWatchEnd(const WatcherCall& call,
                  std::optional<platform::WatchEnd> end,
                  common::TimePoint now);

  // Whether the call has not been superseded, so that its result still counts.
  bool IsCurrent(const WatcherCall& call) const;

  // Whether every kind has been listed at least once.
  bool complete() const;

  // Time of the last successful contact with the platform.
  std::optional<common::TimePoint> last_contact() const {
    return this->last_contact_time;
  }

 private:
  struct KindState {
    bool call_in_progress = false;
    bool needs_list = true;
    bool has_been_listed = false;
    // Set if the last list may have lacked rows.
    bool is_incomplete = false;
    Version since = 0;
    common::TimePoint listed_at;
    common::TimePoint next_call_at;
    uint64_t epoch = 0;
  };

  KindState& StateOf(const WatcherCall& call) {
    return this->kinds[static_cast<size_t>(call.kind)];
  }
  void DiscardCalls();
  bool IsRewriting(common::TimePoint now) const {
    return this->restored_at &&
           now - *this->restored_at < this->options.rewrite_time;
  }

  WatcherOptions options;
  bool is_watching = false;
  std::array<KindState, kKindCount> kinds;
  // The newest era of the store, and when it was first seen if it is not the
  // first one.
  std::optional<uint64_t> era;
  std::optional<common::TimePoint> restored_at;
  std::optional<common::TimePoint> last_contact_time;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_PLATFORM_WATCHER_H_
