#include "core/suspects/part_suspects.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "core/common/hash.h"
#include "core/common/scale.h"

namespace jujuberock::suspects {

namespace {

// Crashes remembered of one part, the first ones.
constexpr size_t kMaxCrashes = 32;
// Crashes that are further apart than this are independent, also if all
// requests were sent before the first one.
constexpr common::Duration kIndependentGap = std::chrono::milliseconds(500);
// Other hosts are told of sound runs of a part at most this often.
constexpr common::Duration kMinPublishInterval = std::chrono::milliseconds(500);
// The block time is doubled at most this often.
constexpr int kMaxBlockTimeDoublings = 6;
constexpr int kExpirationsPerLifetime = 16;
// Error of the times of a crash that other hosts report, which includes the
// transit time of the message. An endpoint takes longer to restart.
constexpr common::Duration kCrashTimeTolerance = std::chrono::milliseconds(100);
// Trials of a verdict. Callers miss what is refused wrongly, and each trial of
// a verdict that is right crashes one more endpoint.
constexpr int kMaxTrials = 2;
constexpr common::Duration kFirstTrialDelay = std::chrono::seconds(1);
constexpr common::Duration kNextTrialDelay = std::chrono::seconds(4);
// Trials of several hosts within this time count as one.
constexpr common::Duration kSameTrial = std::chrono::seconds(2);
// Mean time between the trials of two hosts that have not heard of each
// other's.
constexpr common::Duration kTrialSpacing = std::chrono::milliseconds(250);

}  // namespace

Fingerprint PartFingerprintOf(std::string_view part) {
  return common::Hash64(part);
}

PartSuspects::PartSuspects(PartSuspectOptions options) : options(options) {}

void PartSuspects::OnEndpointCrash(std::string_view endpoint,
                                   std::span<const PartInFlight> in_flight,
                                   common::TimePoint now) {
  this->Expire(now);
  std::map<Fingerprint, Crash> crashes;
  for (const PartInFlight& entry : in_flight) {
    Crash& crash = crashes[entry.part];
    crash.endpoint = endpoint;
    crash.at = now;
    crash.sent_at = std::max(crash.sent_at, entry.sent_at);
    ++crash.requests[this->options.reporter];
  }
  for (const auto& [fingerprint, crash] : crashes)
    this->AddCrash(fingerprint, crash, now);
  this->is_changed |= !in_flight.empty();
  this->Evaluate(now);
}

void PartSuspects::OnSound(std::span<const Fingerprint> sound_parts,
                           common::TimePoint started_at,
                           common::TimePoint now) {
  const bool has_crashes =
      this->last_crash_at >= now - this->options.evidence_lifetime;
  if (!has_crashes && now >= this->verdicts_until)
    return;
  this->Expire(now);
  for (const Fingerprint fingerprint : sound_parts)
    this->ApplySound(this->PartOf(fingerprint, now), started_at, now);
}

std::optional<size_t> PartSuspects::FindBlocked(
    std::span<const Fingerprint> requested,
    common::TimePoint now) const {
  for (size_t i = 0; i < requested.size(); ++i) {
    const auto found = this->parts.find(requested[i]);
    if (found != this->parts.end() && IsRefusedAt(found->second, now) &&
        HoldsAll(requested, found->second.tied))
      return i;
  }
  return std::nullopt;
}

bool PartSuspects::HoldsAll(std::span<const Fingerprint> requested,
                            const std::vector<Fingerprint>& parts) {
  return std::all_of(parts.begin(), parts.end(), [&](Fingerprint part) {
    return std::find(requested.begin(), requested.end(), part) !=
           requested.end();
  });
}

bool PartSuspects::MayBeTrial(std::span<const Fingerprint> requested,
                              common::TimePoint now) const {
  const auto blocked = this->FindBlocked(requested, now);
  if (!blocked)
    return false;
  const Part& part = this->parts.at(requested[*blocked]);
  if (now < part.trial_at || !part.tied.empty())
    return false;
  for (size_t i = 0; i < requested.size(); ++i) {
    const auto found = this->parts.find(requested[i]);
    if (i == *blocked || found == this->parts.end())
      continue;
    const Part& other = found->second;
    // In the rest of the crashes it was not in flight.
    const bool may_be_cause = IsRefusedAt(other, now) ||
                              2 * other.crashes.size() > part.crashes.size();
    if (may_be_cause)
      return false;
    // The first of the other parts tells whether requests like this one are
    // answered where they do not have the part. Later ones may be shared with
    // requests of any kind.
    const size_t first_other = *blocked == 0 ? 1 : 0;
    if (i == first_other && other.sound_at > part.first_crash_at)
      return false;
  }
  return true;
}

bool PartSuspects::TakeTrial(std::span<const Fingerprint> requested,
                             common::TimePoint now) {
  if (!this->MayBeTrial(requested, now))
    return false;
  const Fingerprint fingerprint = requested[*this->FindBlocked(requested, now)];
  this->ApplyTrial(fingerprint, this->parts.at(fingerprint), now);
  this->is_changed = true;
  return true;
}

void PartSuspects::ApplyTrial(Fingerprint fingerprint,
                              Part& part,
                              common::TimePoint began_at) {
  if (part.trials > 0 && began_at < part.last_trial_at + kSameTrial)
    return;
  ++part.trials;
  part.last_trial_at = began_at;
  this->ScheduleTrial(fingerprint, part, began_at);
}

void PartSuspects::ScheduleTrial(Fingerprint fingerprint,
                                 Part& part,
                                 common::TimePoint since) {
  if (part.trials >= kMaxTrials) {
    part.trial_at = common::TimePoint::max();
    return;
  }
  const uint64_t hash =
      common::Hash64(std::to_string(fingerprint), this->options.reporter);
  const double share = static_cast<double>(hash) * 0x1.0p-64;
  const common::Duration spread = common::Scale(
      kTrialSpacing, static_cast<double>(this->host_count) * share);
  const common::Duration delay =
      part.trials == 0 ? kFirstTrialDelay : kNextTrialDelay;
  part.trial_at = std::max(part.trial_at, since + delay + spread);
}

void PartSuspects::Tick(common::TimePoint now) {
  this->Expire(now);
  this->Evaluate(now);
}

std::vector<EndpointCrash> PartSuspects::ExplainedCrashes() const {
  std::vector<EndpointCrash> crashes;
  for (const auto& [endpoint, crash] : this->explained)
    crashes.push_back({endpoint, crash.at});
  return crashes;
}

std::vector<PartMark> PartSuspects::Marks(common::TimePoint now) {
  this->Expire(now);
  std::vector<PartMark> marks;
  for (const auto& [fingerprint, part] : this->parts) {
    if (IsBlockedAt(part, now))
      marks.push_back({PartEvidence::kBlocked,
                       fingerprint,
                       {},
                       now - part.first_crash_at,
                       {}});
    if (IsBlockedAt(part, now) && part.trials > 0)
      marks.push_back({PartEvidence::kTrial,
                       fingerprint,
                       {},
                       now - part.last_trial_at,
                       {}});
    if (this->IsSoundPublished(part, now))
      marks.push_back(
          {PartEvidence::kSound, fingerprint, {}, now - part.sound_at, {}});
    for (const Crash& crash : part.crashes) {
      if (this->IsOwn(crash))
        marks.push_back({PartEvidence::kCrash, fingerprint, crash.endpoint,
                         now - crash.at, now - crash.sent_at,
                         crash.requests.at(this->options.reporter),
                         this->options.reporter});
    }
  }
  std::sort(marks.begin(), marks.end(), [](const auto& a, const auto& b) {
    return std::tie(a.evidence, a.age) < std::tie(b.evidence, b.age);
  });
  return marks;
}

void PartSuspects::Merge(std::span<const PartMark> marks,
                         common::TimePoint now) {
  this->Expire(now);
  for (const PartMark& mark : marks) {
    const common::Duration lifetime = mark.evidence == PartEvidence::kCrash
                                          ? this->options.evidence_lifetime
                                          : this->options.block_time;
    if (mark.age < common::Duration::zero() || mark.age > lifetime)
      continue;
    const common::TimePoint at = now - mark.age;
    switch (mark.evidence) {
      case PartEvidence::kCrash:
        this->AddCrash(mark.part,
                       {mark.endpoint,
                        at,
                        now - mark.sent_age,
                        {{mark.reporter, mark.requests}}},
                       now);
        break;
      case PartEvidence::kSound:
        this->ApplySound(this->PartOf(mark.part, now), at, now);
        break;
      case PartEvidence::kBlocked:
        this->ApplyVerdict(mark.part, this->PartOf(mark.part, now), at, now);
        break;
      case PartEvidence::kTrial:
        if (Part& part = this->PartOf(mark.part, now); IsBlockedAt(part, now))
          this->ApplyTrial(mark.part, part, at);
        break;
    }
  }
  this->Evaluate(now);
}

bool PartSuspects::TakeChanged() {
  return std::exchange(this->is_changed, false);
}

size_t PartSuspects::CountBlocked(common::TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      this->parts.begin(), this->parts.end(),
      [&](const auto& entry) { return IsRefusedAt(entry.second, now); }));
}

// A request can't be in flight during two crashes of its endpoint, so crashes
// are the same if the time from the send to the crash overlaps.
bool PartSuspects::IsSameCrash(const Crash& a, const Crash& b) const {
  if (a.endpoint != b.endpoint || !this->options.endpoint_names_recur)
    return a.endpoint == b.endpoint;
  return a.sent_at <= b.at + kCrashTimeTolerance &&
         b.sent_at <= a.at + kCrashTimeTolerance;
}

PartSuspects::Part& PartSuspects::PartOf(Fingerprint fingerprint,
                                         common::TimePoint now) {
  const auto found = this->parts.find(fingerprint);
  if (found == this->parts.end() &&
      this->parts.size() >= this->options.max_parts) {
    // Verdicts are kept longest, then parts with many crashes.
    const auto evicted = std::min_element(
        this->parts.begin(), this->parts.end(),
        [](const auto& a, const auto& b) {
          return std::tuple(a.second.blocked_until, a.second.crashes.size(),
                            a.second.changed_at) <
                 std::tuple(b.second.blocked_until, b.second.crashes.size(),
                            b.second.changed_at);
        });
    this->parts.erase(evicted);
  }
  Part& part = this->parts[fingerprint];
  part.changed_at = now;
  return part;
}

void PartSuspects::AddCrash(Fingerprint fingerprint,
                            const Crash& crash,
                            common::TimePoint now) {
  this->last_crash_at = std::max(this->last_crash_at, crash.at);
  Part& part = this->PartOf(fingerprint, now);
  if (crash.at <= part.sound_at) {
    const bool is_in_danger =
        !this->IsOwn(crash) &&
        ++part.disproved_crashes + 1 >= this->options.blocking_crashes;
    if (is_in_danger)
      this->PublishSound(part, now);
    return;
  }
  if (IsBlockedAt(part, now)) {
    this->AddExplained(crash);
    this->ScheduleTrial(fingerprint, part, crash.at);
  }
  for (Crash& known : part.crashes) {
    if (!IsSameCrash(known, crash))
      continue;
    known.sent_at = std::max(known.sent_at, crash.sent_at);
    for (const auto& [reporter, requests] : crash.requests)
      known.requests[reporter] = std::max(known.requests[reporter], requests);
    return;
  }
  if (part.crashes.size() >= kMaxCrashes)
    return;
  const auto position = std::upper_bound(
      part.crashes.begin(), part.crashes.end(), crash.at,
      [](common::TimePoint at, const Crash& other) { return at < other.at; });
  part.crashes.insert(position, crash);
}

void PartSuspects::ApplySound(Part& part,
                              common::TimePoint started_at,
                              common::TimePoint now) {
  if (started_at <= part.sound_at)
    return;
  const bool lifts_verdict =
      IsBlockedAt(part, now) && started_at > part.first_crash_at;
  // Other hosts learn of sound runs only where these decide something.
  const bool is_in_danger =
      this->CountCrashes(part) + 1 >= this->options.blocking_crashes;
  part.sound_at = started_at;
  std::erase_if(part.crashes,
                [&](const Crash& crash) { return crash.at <= part.sound_at; });
  if (lifts_verdict) {
    Lift(part, now);
    this->CollectExplained(now);
    this->UpdateBlocked(now);
  }
  if (lifts_verdict || is_in_danger)
    this->PublishSound(part, now);
}

void PartSuspects::PublishSound(Part& part, common::TimePoint now) {
  if (part.sound_published_at &&
      now - *part.sound_published_at < kMinPublishInterval)
    return;
  part.sound_published_at = now;
  part.disproved_crashes = 0;
  this->is_changed = true;
}

bool PartSuspects::IsSoundPublished(const Part& part,
                                    common::TimePoint now) const {
  // Hosts that have not heard of a lifted verdict may still pass it on.
  if (part.lifted_at && now - *part.lifted_at <= this->options.block_time)
    return true;
  return part.sound_published_at &&
         now - *part.sound_published_at <= this->options.evidence_lifetime;
}

void PartSuspects::ApplyVerdict(Fingerprint fingerprint,
                                Part& part,
                                common::TimePoint first_crash_at,
                                common::TimePoint now) {
  if (IsBlockedAt(part, now))
    return;
  if (part.sound_at > first_crash_at) {
    // The host that has the verdict does not know of the sound run.
    this->PublishSound(part, now);
    return;
  }
  part.first_crash_at = first_crash_at;
  this->Block(fingerprint, part, now);
}

size_t PartSuspects::CountCrashes(const Part& part) const {
  size_t count = 0;
  common::TimePoint last;
  for (const Crash& crash : part.crashes) {
    const bool is_independent = count == 0 || crash.sent_at >= last ||
                                crash.at - last >= kIndependentGap;
    if (!is_independent || this->IsExplained(crash))
      continue;
    ++count;
    last = crash.at;
  }
  return count;
}

bool PartSuspects::HasEnoughCrashes(const Part& part, size_t count) const {
  if (part.times_blocked == 0)
    return count >= this->options.blocking_crashes;
  return count > 0 && part.crashes.back().at >= part.blocked_until;
}

bool PartSuspects::IsExplained(const Crash& crash) const {
  const auto [begin, end] = this->explained.equal_range(crash.endpoint);
  return std::any_of(begin, end, [&](const auto& entry) {
    return IsSameCrash(entry.second, crash);
  });
}

void PartSuspects::AddExplained(const Crash& crash) {
  if (!this->IsExplained(crash))
    this->explained.emplace(crash.endpoint, crash);
}

double PartSuspects::ScoreOf(const Part& part) const {
  double crashes = 0;
  double requests = 0;
  for (const Crash& crash : part.crashes) {
    crashes += 1;
    for (const auto& [reporter, count] : crash.requests)
      requests += std::max<uint32_t>(1, count);
  }
  return requests > 0 ? crashes * crashes / requests : 0;
}

void PartSuspects::Evaluate(common::TimePoint now) {
  double best = 0;
  struct Due {
    Fingerprint fingerprint;
    Part* part;
    double score;
  };
  std::vector<Due> due;
  for (auto& [fingerprint, part] : this->parts) {
    if (part.crashes.empty() || IsBlockedAt(part, now))
      continue;
    const size_t count = this->CountCrashes(part);
    if (!this->HasEnoughCrashes(part, count)) {
      part.verdict_at.reset();
      continue;
    }
    if (!part.verdict_at)
      part.verdict_at = now + this->options.verdict_delay;
    const double score = this->ScoreOf(part);
    best = std::max(best, score);
    if (now >= *part.verdict_at)
      due.push_back({fingerprint, &part, score});
  }
  for (const auto& [fingerprint, part, score] : due) {
    if (score < best)
      continue;
    part->first_crash_at = part->crashes.front().at;
    this->Block(fingerprint, *part, now);
  }
  this->UpdateBlocked(now);
}

void PartSuspects::Block(Fingerprint fingerprint,
                         Part& part,
                         common::TimePoint now) {
  const int doublings = std::min(part.times_blocked, kMaxBlockTimeDoublings);
  part.blocked_until = now + this->options.block_time * (1 << doublings);
  ++part.times_blocked;
  part.verdict_at.reset();
  this->verdicts_until = std::max(this->verdicts_until, part.blocked_until);
  for (const Crash& crash : part.crashes)
    this->AddExplained(crash);
  part.trials = 0;
  part.trial_at = common::TimePoint::min();
  this->ScheduleTrial(fingerprint, part, now);
  this->is_changed = true;
}

void PartSuspects::Lift(Part& part, common::TimePoint now) {
  part.lifted_at = now;
  part.blocked_until = common::TimePoint::min();
  part.times_blocked = 0;
  part.verdict_at.reset();
  part.trials = 0;
  part.trial_at = common::TimePoint::max();
}

bool PartSuspects::Supersedes(const Part& cause, const Part& other) const {
  return cause.crashes.size() > other.crashes.size() &&
         this->ScoreOf(cause) > this->ScoreOf(other) &&
         this->Explains(cause, other);
}

bool PartSuspects::Explains(const Part& cause, const Part& other) const {
  return std::all_of(
      other.crashes.begin(), other.crashes.end(), [&](const Crash& crash) {
        return std::any_of(cause.crashes.begin(), cause.crashes.end(),
                           [&](const Crash& known) {
                             return this->IsSameCrash(known, crash);
                           });
      });
}

bool PartSuspects::AreTied(const Part& a, const Part& b) const {
  if (a.crashes.size() != b.crashes.size())
    return false;
  // Verdicts of hosts that are gone: parts with the same crashes have the same
  // first one.
  if (a.crashes.empty())
    return std::chrono::abs(a.first_crash_at - b.first_crash_at) <=
           kCrashTimeTolerance;
  return this->Explains(a, b) && this->Explains(b, a);
}

void PartSuspects::UpdateBlocked(common::TimePoint now) {
  std::vector<std::pair<Fingerprint, Part*>> blocked;
  for (auto& [fingerprint, part] : this->parts) {
    part.is_superseded = false;
    part.tied.clear();
    if (IsBlockedAt(part, now))
      blocked.emplace_back(fingerprint, &part);
  }
  for (const auto& [fingerprint, part] : blocked) {
    for (const auto& [other_fingerprint, other] : blocked) {
      if (other == part)
        continue;
      const bool has_crashes = !part->crashes.empty();
      part->is_superseded |= has_crashes && this->Supersedes(*other, *part);
      if (this->AreTied(*part, *other))
        part->tied.push_back(other_fingerprint);
    }
  }
}

void PartSuspects::CollectExplained(common::TimePoint now) {
  this->explained.clear();
  for (const auto& [fingerprint, part] : this->parts) {
    if (!IsBlockedAt(part, now))
      continue;
    for (const Crash& crash : part.crashes)
      this->AddExplained(crash);
  }
}

void PartSuspects::Expire(common::TimePoint now) {
  if (now - this->expired_at <
      this->options.evidence_lifetime / kExpirationsPerLifetime)
    return;
  this->expired_at = now;
  const common::TimePoint oldest = now - this->options.evidence_lifetime;
  for (auto& [fingerprint, part] : this->parts) {
    if (IsBlockedAt(part, now))
      continue;
    std::erase_if(part.crashes,
                  [&](const Crash& crash) { return crash.at < oldest; });
  }
  std::erase_if(this->parts, [&](const auto& entry) {
    const Part& part = entry.second;
    return part.times_blocked == 0 && part.crashes.empty() &&
           part.changed_at < oldest && !this->IsSoundPublished(part, now);
  });
  this->CollectExplained(now);
}

}  // namespace jujuberock::suspects
