#ifndef CORE_TABLE_HOST_PROGRESS_H_
#define CORE_TABLE_HOST_PROGRESS_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/table/digest.h"

namespace jujuberock::table {

// A host that, as far as is known, lacks something that this host has.
struct HostLag {
  std::string host;
  // The host was heard of after this host had the change. Otherwise it may
  // have the change by now: it did not answer since.
  bool confirmed = false;
  // The oldest change that the host lacks, if it is among the recent ones;
  // otherwise the host differs in something older.
  std::optional<Object> oldest_missing;
  // How long ago this host learned of that change, or how long the host has
  // differed. At least this long the change has been missing there.
  common::Duration lacking{0};
  // Age of the host's last message; nothing when it never sent one.
  std::optional<common::Duration> heard_ago;
};

// Tracks which configuration each host has in force by the digests in its
// messages. Not thread-safe.
class HostProgress {
 public:
  // Objects that this host has put in force, without bodies.
  void OnApplied(const std::vector<Object>& objects, common::TimePoint now);
  // `mine` is this host's digest when the message was handled.
  void OnSummary(const std::string& host,
                 const DigestSummary& theirs,
                 const DigestSummary& mine,
                 common::TimePoint now);
  // Forgets hosts that are not among these.
  void Retain(const std::set<std::string>& known);

  // Those of `known` whose last digest differs from `mine`.
  std::vector<HostLag> Lags(const std::set<std::string>& known,
                            const DigestSummary& mine,
                            common::TimePoint now) const;

 private:
  struct Applied {
    Object object;
    common::TimePoint when;
  };
  struct Seen {
    DigestSummary summary;
    common::TimePoint when;
    // Since when the host's digest has differed; unset while equal.
    std::optional<common::TimePoint> differs_since;
  };

  // The last changes in the order in which they were applied here.
  std::deque<Applied> applied;
  std::map<std::string, Seen> hosts;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_HOST_PROGRESS_H_
