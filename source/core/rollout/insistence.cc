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

common::TimePoint InsistFrom(const VersionNotice& notice,
                             common::Duration bound) {
  const double share = notice.is_first ? kStartShare : kInsistShare;
  return notice.learnt_at + common::Scale(bound, share);
}

}  // namespace jujuberock::rollout
