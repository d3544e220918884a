#include "core/rollout/version_requirements.h"

#include "core/common/scale.h"

namespace jujuberock::rollout {

namespace {

// Share of the bound after which a version is required. The rest is left for
// requests that are queued at their engine.
constexpr double kRequiredAfterShare = 0.8;
// The same share for the first version that a host learns of. It is smaller,
// because that version may have been announced long before the host started.
// Until then the host may use older versions, since the platform's bounds do
// not apply to a host in the first seconds after its start.
constexpr double kRequiredAfterShareAtStart = 0.2;

}  // namespace

bool VersionRequirements::OnAnnounced(uint64_t version,
                                      common::Duration bound,
                                      common::TimePoint now) {
  if (version <= this->newest())
    return false;
  const double share = this->announced.empty() ? kRequiredAfterShareAtStart
                                               : kRequiredAfterShare;
  const uint64_t required = this->RequiredAt(now);
  std::erase_if(this->announced, [&](const Announced& entry) {
    return entry.version < required;
  });
  this->announced.push_back({version, now + common::Scale(bound, share)});
  return true;
}

uint64_t VersionRequirements::newest() const {
  return this->announced.empty() ? 0 : this->announced.back().version;
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
