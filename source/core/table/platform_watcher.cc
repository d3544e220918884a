#include "core/table/platform_watcher.h"

#include <algorithm>

namespace jujuberock::table {

std::vector<WatcherCall> PlatformWatcher::OnTick(common::TimePoint now,
                                                 bool watch) {
  if (!watch) {
    if (this->is_watching)
      this->DiscardCalls();
    this->is_watching = false;
    return {};
  }
  this->is_watching = true;
  std::vector<WatcherCall> calls;
  for (size_t i = 0; i < kKindCount; ++i) {
    KindState& state = this->kinds[i];
    if (state.call_in_progress || now < state.next_call_at)
      continue;
    const bool is_rewritten = state.is_incomplete && !this->IsRewriting(now);
    if (is_rewritten || now - state.listed_at >= this->options.list_period)
      state.needs_list = true;
    state.call_in_progress = true;
    ++state.epoch;
    const auto type =
        state.needs_list ? WatcherCall::Type::kList : WatcherCall::Type::kWatch;
    calls.push_back({type, static_cast<Kind>(i), state.since, state.epoch});
  }
  return calls;
}

void PlatformWatcher::DiscardCalls() {
  for (KindState& state : this->kinds) {
    state.call_in_progress = false;
    // While this host does not watch the platform, it receives changes from
    // peers, possibly out of order. Only a list gives a version from which a
    // watch can resume without missing changes.
    state.needs_list = true;
    ++state.epoch;
  }
}

bool PlatformWatcher::IsCurrent(const WatcherCall& call) const {
  const KindState& state = this->kinds[static_cast<size_t>(call.kind)];
  return state.call_in_progress && state.epoch == call.epoch;
}

bool PlatformWatcher::MayLackRows(Version version, common::TimePoint now) {
  const uint64_t listed_era = platform::EraOf(version);
  if (this->era && listed_era > *this->era)
    this->restored_at = now;
  this->era = std::max(this->era.value_or(listed_era), listed_era);
  return this->IsRewriting(now);
}

void PlatformWatcher::OnListEnd(const WatcherCall& call,
                                std::optional<Version> version,
                                common::TimePoint now) {
  if (!this->IsCurrent(call))
    return;
  KindState& state = this->StateOf(call);
  state.call_in_progress = false;
  if (!version) {
    state.next_call_at = now + this->options.retry_after;
    return;
  }
  this->last_contact_time = now;
  state.needs_list = false;
  state.has_been_listed = true;
  state.is_incomplete = this->IsRewriting(now);
  state.listed_at = now;
  state.since = std::max(state.since, *version);
}

void PlatformWatcher::OnChange(const WatcherCall& call, Version version) {
  if (!this->IsCurrent(call))
    return;
  KindState& state = this->StateOf(call);
  state.since = std::max(state.since, version);
}

void PlatformWatcher::OnWatchEnd(const WatcherCall& call,
                                 std::optional<platform::WatchEnd> end,
                                 common::TimePoint now) {
  if (!this->IsCurrent(call))
    return;
  KindState& state = this->StateOf(call);
  state.call_in_progress = false;
  if (!end) {
    // The platform may have rejected the watch because `since` is too old.
    state.needs_list = true;
    state.next_call_at = now + this->options.retry_after;
    return;
  }
  if (*end == platform::WatchEnd::kExpired)
    this->last_contact_time = now;
  if (*end == platform::WatchEnd::kSilent ||
      *end == platform::WatchEnd::kRestored)
    state.needs_list = true;
  // During an outage watches may end immediately. Reopening them without a
  // delay would load the platform while it recovers.
  if (*end == platform::WatchEnd::kEnded)
    state.next_call_at = now + this->options.retry_after;
}

bool PlatformWatcher::complete() const {
  return std::all_of(
      this->kinds.begin(), this->kinds.end(),
      [](const KindState& state) { return state.has_been_listed; });
}

}  // namespace jujuberock::table
