#include "core/rollout/version_requirements.h"

#include <algorithm>

#include "core/common/scale.h"

namespace jujuberock::rollout {

namespace {

// Share of the bound after which a version is required, counted from its
// announcement.
constexpr double kRequiredAfterShare = 0.8;
// Share of the bound, and the least time before its end, that is left to cancel
// requests that are still queued at an engine with older weights.
constexpr double kCancelShare = 0.05;
constexpr common::Duration kMinCancelTime = std::chrono::milliseconds(300);
// Share of the bound for which a host may use older versions after it learns of
// a version that may have been announced long ago. The platform's bounds do not
// apply to a host in the first seconds after its start or an outage.
constexpr double kMinAdaptationShare = 0.2;

}  // namespace

bool VersionRequirements::OnAnnounced(
    uint64_t version,
    common::Duration bound,
    std::optional<common::TimePoint> announced_after,
    common::TimePoint now) {
  if (version <= this->newest())
    return false;
  common::TimePoint required_from =
      now + common::Scale(bound, kMinAdaptationShare);
  if (announced_after) {
    required_from =
        std::max(required_from,
                 *announced_after + common::Scale(bound, kRequiredAfterShare));
  }
  const uint64_t required = this->RequiredAt(now);
  std::erase_if(this->announced, [&](const Announced& entry) {
    return entry.version < required;
  });
  const common::Duration cancel_time =
      std::max(common::Scale(bound, kCancelShare), kMinCancelTime);
  // Without evidence, the bound may already have passed.
  const common::TimePoint start_deadline =
      announced_after
          ? std::max(required_from, *announced_after + bound - cancel_time)
          : required_from;
  this->announced.push_back(
      {version, required_from, start_deadline, announced_after.value_or(now)});
  return true;
}

uint64_t VersionRequirements::newest() const {
  return this->announced.empty() ? 0 : this->announced.back().version;
}

std::optional<common::TimePoint> VersionRequirements::StartDeadline(
    uint64_t version) const {
  std::optional<common::TimePoint> earliest;
  for (const Announced& entry : this->announced) {
    if (entry.version > version)
      earliest = std::min(earliest.value_or(entry.start_deadline),
                          entry.start_deadline);
  }
  return earliest;
}

common::Duration VersionRequirements::AnnouncementAge(
    common::TimePoint now) const {
  return this->announced.empty() ? common::Duration(0)
                                 : now - this->announced.back().announced_after;
}

uint64_t VersionRequirements::RequiredAt(common::TimePoint now) const {
  uint64_t required = 0;
  for (const Announced& entry : this->announced) {
    if (now > entry.required_from)
      required = entry.version;
  }
  return required;
}

}  // namespace jujuberock::rollout
