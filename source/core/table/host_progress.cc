#include "core/table/host_progress.h"

#include <algorithm>

namespace jujuberock::table {

namespace {

// Enough for some minutes of a bulk edit of every team.
constexpr size_t kKeptChanges = 1000;

}  // namespace

void HostProgress::OnApplied(const std::vector<Object>& objects,
                             common::TimePoint now) {
  for (const Object& object : objects) {
    this->applied.push_back(
        {{object.kind, object.name, object.version, object.deleted, "", ""},
         now});
  }
  while (this->applied.size() > kKeptChanges)
    this->applied.pop_front();
}

void HostProgress::OnSummary(const std::string& host,
                             const DigestSummary& theirs,
                             const DigestSummary& mine,
                             common::TimePoint now) {
  Seen& seen = this->hosts[host];
  seen.summary = theirs;
  seen.when = now;
  if (theirs == mine)
    seen.differs_since.reset();
  else if (!seen.differs_since)
    seen.differs_since = now;
}

void HostProgress::Retain(const std::set<std::string>& known) {
  std::erase_if(this->hosts,
                [&](const auto& item) { return !known.contains(item.first); });
}

std::vector<HostLag> HostProgress::Lags(const std::set<std::string>& known,
                                        const DigestSummary& mine,
                                        common::TimePoint now) const {
  std::vector<HostLag> lags;
  for (const std::string& host : known) {
    const auto found = this->hosts.find(host);
    const bool heard = found != this->hosts.end();
    if (heard && found->second.summary == mine)
      continue;
    HostLag lag;
    lag.host = host;
    const Seen seen = heard ? found->second : Seen{};
    if (heard)
      lag.heard_ago = now - seen.when;
    const auto missing = std::find_if(
        this->applied.begin(), this->applied.end(), [&](const Applied& change) {
          return change.object.version > seen.summary.high;
        });
    if (missing != this->applied.end()) {
      lag.oldest_missing = missing->object;
      lag.lacking = now - missing->when;
      lag.confirmed = heard && seen.when > missing->when;
    } else if (seen.differs_since) {
      lag.lacking = now - *seen.differs_since;
      lag.confirmed = true;
    }
    lags.push_back(std::move(lag));
  }
  return lags;
}

}  // namespace jujuberock::table
