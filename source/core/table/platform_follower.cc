#include "core/table/platform_follower.h"

#include <algorithm>

namespace jujuberock::table {

std::vector<FollowAction> PlatformFollower::OnTick(common::TimePoint now,
                                                   bool follow) {
  if (!follow) {
    if (this->following)
      this->Abandon();
    this->following = false;
    return {};
  }
  this->following = true;
  std::vector<FollowAction> actions;
  for (size_t i = 0; i < kKinds; ++i) {
    KindState& state = this->kinds[i];
    if (state.in_call || now < state.not_before)
      continue;
    if (now - state.listed_at >= this->options.list_period)
      state.needs_list = true;
    state.in_call = true;
    ++state.epoch;
    const auto type = state.needs_list ? FollowAction::Type::kList
                                       : FollowAction::Type::kWatch;
    actions.push_back({type, static_cast<Kind>(i), state.since, state.epoch});
  }
  return actions;
}

void PlatformFollower::Abandon() {
  for (KindState& state : this->kinds) {
    state.in_call = false;
    // While another host followed, changes were learned by other paths, which
    // deliver them out of order; only a list gives a version to go on from.
    state.needs_list = true;
    ++state.epoch;
  }
}

bool PlatformFollower::IsCurrent(const FollowAction& action) const {
  const KindState& state = this->kinds[static_cast<size_t>(action.kind)];
  return state.in_call && state.epoch == action.epoch;
}

void PlatformFollower::OnListEnd(const FollowAction& action,
                                 std::optional<Version> version,
                                 common::TimePoint now) {
  if (!this->IsCurrent(action))
    return;
  KindState& state = this->StateOf(action);
  state.in_call = false;
  if (!version) {
    state.not_before = now + this->options.retry_after;
    return;
  }
  this->contact = now;
  state.needs_list = false;
  state.listed_once = true;
  state.listed_at = now;
  state.since = std::max(state.since, *version);
}

void PlatformFollower::OnChange(const FollowAction& action, Version version) {
  if (!this->IsCurrent(action))
    return;
  KindState& state = this->StateOf(action);
  state.since = std::max(state.since, version);
}

void PlatformFollower::OnWatchEnd(const FollowAction& action,
                                  std::optional<platform::WatchEnd> end,
                                  common::TimePoint now) {
  if (!this->IsCurrent(action))
    return;
  KindState& state = this->StateOf(action);
  state.in_call = false;
  if (!end) {
    // Refused, perhaps because `since` is too old for the platform.
    state.needs_list = true;
    state.not_before = now + this->options.retry_after;
    return;
  }
  if (*end == platform::WatchEnd::kExpired)
    this->contact = now;
  if (*end == platform::WatchEnd::kSilent)
    state.needs_list = true;
  // An outage may end watches at once; opening them without a pause would load
  // the platform while it recovers.
  if (*end == platform::WatchEnd::kEnded)
    state.not_before = now + this->options.retry_after;
}

bool PlatformFollower::complete() const {
  return std::all_of(this->kinds.begin(), this->kinds.end(),
                     [](const KindState& state) { return state.listed_once; });
}

}  // namespace jujuberock::table
