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

// A host whose last known table differs from that of this host.
struct LaggingHost {
  std::string host;
  // The host sent a message after this host had applied the change and still
  // lacked it. If false, the host has not been heard from since and may have
  // the change.
  bool confirmed = false;
  // The oldest recent change that the host lacks; nullopt if the difference is
  // older than the recorded changes.
  std::optional<Object> oldest_missing;
  // Time since this host applied that change, or since the host's table has
  // differed: a lower bound on how long the change has been missing there.
  common::Duration missing_for{0};
  // Age of the host's last message; nullopt if it never sent one.
  std::optional<common::Duration> last_message_age;
};

// Tracks how current the table of each host is, using the digests in its
// messages. Not thread-safe.
class HostProgress {
 public:
  // Records objects that this host has applied; bodies are not kept.
  void OnApplied(const std::vector<Object>& objects, common::TimePoint now);
  // Records the digest in a message from `host`. `mine` is this host's digest
  // at the time the message was handled.
  void OnSummary(const std::string& host,
                 const DigestSummary& theirs,
                 const DigestSummary& mine,
                 common::TimePoint now);
  // Drops the state of all hosts that are not in `known`.
  void RetainHosts(const std::set<std::string>& known);

  // The hosts in `known` that sent no digest or whose last digest differs from
  // `mine`.
  std::vector<LaggingHost> LaggingHosts(const std::set<std::string>& known,
                                        const DigestSummary& mine,
                                        common::TimePoint now) const;

 private:
  struct AppliedChange {
    Object object;
    common::TimePoint when;
  };
  struct HostState {
    DigestSummary summary;
    common::TimePoint when;
    // When the host's digest began to differ; unset while equal.
    std::optional<common::TimePoint> differs_since;
  };

  // The most recent changes, in the order in which this host applied them.
  std::deque<AppliedChange> recent_changes;
  std::map<std::string, HostState> hosts;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_HOST_PROGRESS_H_
