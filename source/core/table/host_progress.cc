#include "core/table/host_progress.h"

#include <algorithm>

namespace jujuberock::table {

namespace {

// Covers a bulk edit of every team for some minutes.
constexpr size_t kMaxRecentChanges = 1000;

}  // namespace

void HostProgress::OnApplied(const std::vector<Object>& objects,
                             common::TimePoint now) {
  for (const Object& object : objects) {
    this->recent_changes.push_back(
        {{object.kind, object.name, object.version, object.deleted, "", ""},
         now});
  }
  while (this->recent_changes.size() > kMaxRecentChanges)
    this->recent_changes.pop_front();
}

void HostProgress::OnSummary(const std::string& host,
                             const DigestSummary& theirs,
                             const DigestSummary& mine,
                             common::TimePoint now) {
  HostState& state = this->hosts[host];
  state.summary = theirs;
  state.when = now;
  if (theirs == mine)
    state.differs_since.reset();
  else if (!state.differs_since)
    state.differs_since = now;
}

void HostProgress::RetainHosts(const std::set<std::string>& known) {
  std::erase_if(this->hosts,
                [&](const auto& item) { return !known.contains(item.first); });
}

std::vector<LaggingHost> HostProgress::LaggingHosts(
    const std::set<std::string>& known,
    const DigestSummary& mine,
    common::TimePoint now) const {
  std::vector<LaggingHost> lagging_hosts;
  for (const std::string& host : known) {
    const auto found = this->hosts.find(host);
    const bool heard = found != this->hosts.end();
    if (heard && found->second.summary == mine)
      continue;
    LaggingHost lagging;
    lagging.host = host;
    const HostState state = heard ? found->second : HostState{};
    if (heard)
      lagging.last_message_age = now - state.when;
    const auto missing =
        std::find_if(this->recent_changes.begin(), this->recent_changes.end(),
                     [&](const AppliedChange& change) {
                       return change.object.version > state.summary.max_version;
                     });
    if (missing != this->recent_changes.end()) {
      lagging.oldest_missing = missing->object;
      lagging.missing_for = now - missing->when;
      lagging.confirmed = heard && state.when > missing->when;
    } else if (state.differs_since) {
      lagging.missing_for = now - *state.differs_since;
      lagging.confirmed = true;
    }
    lagging_hosts.push_back(std::move(lagging));
  }
  return lagging_hosts;
}

}  // namespace jujuberock::table
