#include "core/rollout/insistence.h"

#include "core/common/scale.h"

namespace jujuberock::rollout {

namespace {

// The rest of the bound is for requests that wait at their engine.
constexpr double kInsistShare = 0.8;
// A host that has just started is not bound for some seconds: the platform's
// bounds hold for hosts that have been up for a while.
constexpr double kStartShare = 0.2;

}  // namespace

bool NamedVersions::OnNamed(uint64_t version,
                            common::Duration bound,
                            common::TimePoint now) {
  if (version <= this->newest())
    return false;
  // The first version that a host knows of may have been named long before the
  // host started.
  const double share = this->named.empty() ? kStartShare : kInsistShare;
  const uint64_t required = this->RequiredAt(now);
  std::erase_if(this->named,
                [&](const Named& entry) { return entry.version < required; });
  this->named.push_back({version, now + common::Scale(bound, share)});
  return true;
}

uint64_t NamedVersions::newest() const {
  return this->named.empty() ? 0 : this->named.back().version;
}

uint64_t NamedVersions::RequiredAt(common::TimePoint now) const {
  uint64_t required = 0;
  for (const Named& entry : this->named) {
    if (now > entry.insist_from)
      required = entry.version;
  }
  return required;
}

}  // namespace jujuberock::rollout
