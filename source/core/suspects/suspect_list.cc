#include "core/suspects/suspect_list.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "core/common/hash.h"

namespace jujuberock::suspects {

namespace {

// Crashes of one endpoint that were seen within this time are the same crash.
// Hosts see a crash at different times, when their connections break or a probe
// fails, and the age of a mark is off by the transit time of the message.
constexpr common::Duration kSameCrashWindow = std::chrono::seconds(3);

// Expired marks are removed this often per lifetime rather than on each call,
// which would have to visit every mark. So a mark outlives its lifetime by at
// most this fraction of it.
constexpr int kExpirationsPerLifetime = 64;

}  // namespace

Fingerprint FingerprintOf(std::string_view team,
                          std::string_view service,
                          std::string_view path,
                          std::string_view body) {
  uint64_t hash = common::Hash64(team);
  hash = common::Hash64(service, hash);
  hash = common::Hash64(path, hash);
  return common::Hash64(body, hash);
}

SuspectList::SuspectList(common::Duration lifetime, size_t max_fingerprints)
    : lifetime(lifetime),
      max_fingerprints(std::max<size_t>(1, max_fingerprints)) {}

void SuspectList::OnEndpointCrash(std::string_view endpoint,
                                  std::span<const Fingerprint> fingerprints,
                                  common::TimePoint now) {
  this->Expire(now);
  for (Fingerprint fingerprint : fingerprints)
    this->AddCrash(fingerprint, {std::string(endpoint), now}, now);
  this->RemoveExplainedCrashes();
}

SuspectAction SuspectList::Check(Fingerprint fingerprint,
                                 common::TimePoint now) {
  this->Expire(now);
  auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end() || found->second.crashes.empty())
    return SuspectAction::kNormal;
  Suspect& suspect = found->second;
  if (!IsBlocked(suspect))
    return SuspectAction::kIsolate;
  const bool is_ambiguous = this->IsAmbiguous(fingerprint, suspect);
  if (is_ambiguous && suspect.refused_while_ambiguous)
    return SuspectAction::kIsolate;
  suspect.refused_while_ambiguous |= is_ambiguous;
  suspect.refused_at = now;
  return SuspectAction::kRefuse;
}

void SuspectList::OnSuccess(Fingerprint fingerprint, common::TimePoint now) {
  if (this->suspects.contains(fingerprint))
    this->Clear(fingerprint, now, now);
}

void SuspectList::RemoveCrashes(std::span<const EndpointCrash> crashes) {
  for (auto& [fingerprint, suspect] : this->suspects) {
    std::erase_if(suspect.crashes, [&](const Crash& crash) {
      return std::any_of(crashes.begin(), crashes.end(),
                         [&](const EndpointCrash& known) {
                           return IsSameCrash(known, crash);
                         });
    });
  }
}

std::vector<CrashMark> SuspectList::Marks(common::TimePoint now,
                                          size_t max_marks) {
  this->Expire(now);
  using Entry = std::pair<Importance, Fingerprint>;
  std::vector<Entry> order;
  order.reserve(this->suspects.size());
  for (const auto& [fingerprint, suspect] : this->suspects)
    order.emplace_back(ImportanceOf(suspect), fingerprint);
  std::sort(order.begin(), order.end(), std::greater<Entry>());
  std::vector<CrashMark> marks;
  for (const auto& [importance, fingerprint] : order) {
    const size_t before = marks.size();
    AppendMarks(fingerprint, this->suspects.at(fingerprint), now, marks);
    if (marks.size() <= max_marks)
      continue;
    marks.resize(before);
    break;
  }
  return marks;
}

void SuspectList::AppendMarks(Fingerprint fingerprint,
                              const Suspect& suspect,
                              common::TimePoint now,
                              std::vector<CrashMark>& marks) {
  std::vector<Crash> crashes = suspect.crashes;
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash& a, const Crash& b) { return a.at > b.at; });
  if (crashes.size() > kMaxSentCrashes)
    crashes.resize(kMaxSentCrashes);
  for (const Crash& crash : crashes)
    marks.push_back({fingerprint, crash.endpoint, now - crash.at});
  if (suspect.cleared_at != common::TimePoint::min())
    marks.push_back({fingerprint, {}, now - suspect.cleared_at});
}

SuspectList::Importance SuspectList::ImportanceOf(const Suspect& suspect) {
  const size_t crashes = suspect.crashes.size();
  const common::TimePoint last =
      std::max(suspect.changed_at, suspect.refused_at);
  if (IsBlocked(suspect))
    return {Weight::kBlocked, crashes, last};
  if (suspect.cleared_crashes >= 2)
    return {Weight::kClearedOfBlock, crashes, last};
  return {crashes > 0 ? Weight::kIsolated : Weight::kCleared, crashes, last};
}

void SuspectList::Merge(std::span<const CrashMark> marks,
                        common::TimePoint now) {
  this->Expire(now);
  // The latest mark of a request decides whether all of them hold: a request is
  // blocked as long as the last of its crashes counts.
  std::unordered_map<Fingerprint, common::Duration> youngest;
  for (const CrashMark& mark : marks) {
    const auto [entry, is_new] =
        youngest.try_emplace(mark.fingerprint, mark.age);
    if (!is_new)
      entry->second = std::min(entry->second, mark.age);
  }
  for (const CrashMark& mark : marks) {
    if (youngest[mark.fingerprint] > this->lifetime ||
        mark.age < common::Duration::zero())
      continue;
    if (mark.endpoint.empty())
      this->Clear(mark.fingerprint, now - mark.age, now);
    else
      this->AddCrash(mark.fingerprint, {mark.endpoint, now - mark.age}, now);
  }
  this->RemoveExplainedCrashes();
}

bool SuspectList::IsSameCrash(const Crash& a, const Crash& b) {
  return a.endpoint == b.endpoint && a.at - b.at <= kSameCrashWindow &&
         b.at - a.at <= kSameCrashWindow;
}

bool SuspectList::IsBlocked(const Suspect& suspect) {
  return suspect.crashes.size() >= 2;
}

void SuspectList::AddCrash(Fingerprint fingerprint,
                           const Crash& crash,
                           common::TimePoint now) {
  Suspect& suspect = this->SuspectOf(fingerprint, now);
  if (crash.at <= suspect.cleared_at)
    return;
  for (Crash& known : suspect.crashes) {
    if (known.endpoint != crash.endpoint)
      continue;
    known.at = std::max(known.at, crash.at);
    return;
  }
  suspect.crashes.push_back(crash);
  suspect.changed_at = std::max(suspect.changed_at, crash.at);
}

void SuspectList::Clear(Fingerprint fingerprint,
                        common::TimePoint at,
                        common::TimePoint now) {
  Suspect& suspect = this->SuspectOf(fingerprint, now);
  suspect.cleared_at = std::max(suspect.cleared_at, at);
  suspect.cleared_crashes =
      std::max(suspect.cleared_crashes, suspect.crashes.size());
  suspect.changed_at = std::max(suspect.changed_at, at);
  std::erase_if(suspect.crashes, [&](const Crash& crash) {
    return crash.at <= suspect.cleared_at;
  });
}

SuspectList::Suspect& SuspectList::SuspectOf(Fingerprint fingerprint,
                                             common::TimePoint now) {
  auto found = this->suspects.find(fingerprint);
  if (found != this->suspects.end())
    return found->second;
  if (this->suspects.size() >= this->max_fingerprints) {
    auto evicted = std::min_element(
        this->suspects.begin(), this->suspects.end(),
        [](const auto& a, const auto& b) {
          return ImportanceOf(a.second) < ImportanceOf(b.second);
        });
    this->suspects.erase(evicted);
  }
  Suspect& added = this->suspects[fingerprint];
  added.changed_at = now;
  return added;
}

void SuspectList::RemoveExplainedCrashes() {
  for (const auto& [blocked_fingerprint, suspect] : this->suspects) {
    // clang 14 can't capture a structured binding.
    const Suspect& blocked = suspect;
    if (!IsBlocked(blocked))
      continue;
    for (auto& [fingerprint, other] : this->suspects) {
      if (fingerprint == blocked_fingerprint || IsBlocked(other))
        continue;
      std::erase_if(other.crashes, [&](const Crash& crash) {
        return std::any_of(
            blocked.crashes.begin(), blocked.crashes.end(),
            [&](const Crash& known) { return IsSameCrash(known, crash); });
      });
    }
  }
}

bool SuspectList::IsAmbiguous(Fingerprint fingerprint,
                              const Suspect& suspect) const {
  return std::any_of(
      this->suspects.begin(), this->suspects.end(), [&](const auto& item) {
        const Suspect& other = item.second;
        if (item.first == fingerprint || !IsBlocked(other))
          return false;
        return std::all_of(
            suspect.crashes.begin(), suspect.crashes.end(),
            [&](const Crash& crash) {
              return std::any_of(
                  other.crashes.begin(), other.crashes.end(),
                  [&](const Crash& o) { return IsSameCrash(crash, o); });
            });
      });
}

void SuspectList::Expire(common::TimePoint now) {
  if (now - this->expired_at < this->lifetime / kExpirationsPerLifetime)
    return;
  this->expired_at = now;
  std::erase_if(this->suspects, [&](const auto& item) {
    return now - item.second.changed_at > this->lifetime;
  });
}

}  // namespace jujuberock::suspects
