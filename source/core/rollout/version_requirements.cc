#include "core/rollout/version_requirements.h"

#include <algorithm>

#include "core/common/scale.h"

namespace jujuberock::rollout {

namespace {

// Share of the bound after which a version is required, counted from its
// announcement. The rest is left for requests that are queued at their engine.
constexpr double kRequiredAfterShare = 0.8;
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
  this->announced.push_back(
      {version, required_from, announced_after.value_or(now)});
  return true;
}

uint64_t VersionRequirements::newest() const {
  return this->announced.empty() ? 0 : this->announced.back().version;
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
