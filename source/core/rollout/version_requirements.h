#ifndef CORE_ROLLOUT_VERSION_REQUIREMENTS_H_
#define CORE_ROLLOUT_VERSION_REQUIREMENTS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::rollout {

// Weight versions of one model that were announced as targets, and the time
// from which requests must run on each. No request starts on an older version
// later than `bound` after the announcement; before that, requests may still go
// to engines with older weights if they begin to run in time. Announcing a
// newer version does not cancel the requirement of an earlier one. Not
// thread-safe.
class VersionRequirements {
 public:
  // Records that this host has learned of a target version. `announced_after`
  // is the last time at which the version was certainly not announced yet;
  // nullopt if the host has no such evidence, because it has just started.
  // Returns whether the version is newer than all known ones.
  bool OnAnnounced(uint64_t version,
                   common::Duration bound,
                   std::optional<common::TimePoint> announced_after,
                   common::TimePoint now);
  // The newest announced version; 0 if there is none.
  uint64_t newest() const;
  // The oldest version that a request may start on; 0 for any.
  uint64_t RequiredAt(common::TimePoint now) const;
  // Latest time at which a run on this version may begin; nullopt if no newer
  // version is announced.
  std::optional<common::TimePoint> StartDeadline(uint64_t version) const;
  // Maximum age that the newest announcement can have: the time since it was
  // certainly not made yet, or else since this host learned of it.
  common::Duration AnnouncementAge(common::TimePoint now) const;

 private:
  struct Announced {
    uint64_t version = 0;
    common::TimePoint required_from;
    // Runs on older versions that have not begun by then must be canceled.
    common::TimePoint start_deadline;
    common::TimePoint announced_after;
  };

  // Sorted by version. Entries older than the required version are removed.
  std::vector<Announced> announced;
};

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_VERSION_REQUIREMENTS_H_
