#include "core/table/sync.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jujuberock::table {

namespace {

// At 256 KB each, enough for a table of 16 MB.
constexpr int kMaxRepairs = 64;

// Moves `count` random elements to the front and drops the others.
void KeepRandom(std::vector<std::string>* names,
                size_t count,
                common::Random* random) {
  const size_t kept = std::min(count, names->size());
  for (size_t i = 0; i < kept; ++i) {
    const size_t other = i + random->Below(names->size() - i);
    std::swap((*names)[i], (*names)[other]);
  }
  names->resize(kept);
}

}  // namespace

Sync::Sync(SharedView& view, SyncOptions options, uint64_t seed)
    : view(view), options(options), random(seed) {}

void Sync::OnChanged(const std::vector<Object>& objects,
                     common::TimePoint now) {
  const common::RankedLock lock(this->mutex);
  this->progress.OnApplied(objects, now);
  for (const Object& object : objects) {
    Object& waiting = this->fresh[{object.kind, object.name}];
    if (waiting.version < object.version)
      waiting = object;
  }
}

std::vector<SyncSend> Sync::OnTick(common::TimePoint now,
                                   const PeerSet& peers) {
  std::vector<SyncSend> sends;
  if (now >= this->next_push) {
    this->next_push = now + this->options.push_period;
    sends = this->Push(peers);
  }
  if (now >= this->next_compare) {
    // Spread over the period, so that hosts started together do not stay in
    // step.
    const auto period = this->options.compare_period;
    const auto shift = this->random.Below(period.count() / 4 + 1);
    this->next_compare = now + period - common::Duration(shift);
    auto compares = this->ComparePeers(peers);
    std::move(compares.begin(), compares.end(), std::back_inserter(sends));
  }
  return sends;
}

std::vector<SyncSend> Sync::Push(const PeerSet& peers) {
  SyncMessage message = this->Header();
  {
    const common::RankedLock lock(this->mutex);
    for (auto& [key, object] : this->fresh)
      message.objects.push_back(std::move(object));
    this->fresh.clear();
  }
  if (message.objects.empty())
    return {};
  std::vector<std::string> targets = peers.zone_peers;
  KeepRandom(&targets, this->options.fanout, &this->random);
  std::vector<SyncSend> sends;
  const std::string body = Encode(message);
  for (std::string& target : targets)
    sends.push_back(
        {std::move(target), kDeltaMessage, body, SyncStep::kPush, 0, false});
  return sends;
}

std::vector<SyncSend> Sync::ComparePeers(const PeerSet& peers) {
  std::vector<SyncSend> sends;
  std::vector<std::string> target = peers.zone_peers;
  KeepRandom(&target, 1, &this->random);
  if (!target.empty())
    sends.push_back(this->Compare(target.front()));
  if (!peers.is_delegate || peers.other_zones.empty())
    return sends;
  const size_t turn = this->next_zone++ % peers.other_zones.size();
  const auto zone =
      std::next(peers.other_zones.begin(), static_cast<std::ptrdiff_t>(turn));
  target = zone->second;
  KeepRandom(&target, 1, &this->random);
  if (!target.empty())
    sends.push_back(this->Compare(target.front()));
  return sends;
}

SyncMessage Sync::Header() const {
  SyncMessage message;
  message.summary = this->view.Summary();
  message.ready = this->ready();
  return message;
}

SyncSend Sync::Compare(const std::string& host) const {
  return {host, kDigestMessage, Encode(this->Header()), SyncStep::kCompare,
          0,    false};
}

bool Sync::Merge(const std::string& from,
                 const SyncMessage& message,
                 common::TimePoint now) {
  const std::vector<Object> changed = this->view.Apply(message.objects);
  if (!changed.empty())
    this->OnChanged(changed, now);
  const DigestSummary mine = this->view.Summary();
  const common::RankedLock lock(this->mutex);
  this->progress.OnSummary(from, message.summary, mine, now);
  // A peer that is ready and equal shows that nothing is missing here.
  if (message.ready && message.summary == mine && !message.more)
    this->is_ready = true;
  return !changed.empty();
}

std::string Sync::OnRequest(const std::string& from,
                            std::string_view body,
                            common::TimePoint now) {
  const SyncMessage request = DecodeSyncMessage(body);
  this->Merge(from, request, now);
  SyncMessage answer = this->Header();
  if (answer.summary == request.summary)
    return Encode(answer);
  if (request.digest) {
    answer.digest = this->view.MakeDigest();
    Delta delta = this->view.DeltaSince(*request.digest);
    answer.objects = std::move(delta.objects);
    answer.more = delta.more;
  } else if (request.objects.empty()) {
    // Most often only the last changes are missing, so they come without a
    // second exchange.
    answer.objects =
        this->view.Newest(request.summary.high, this->options.recent_bytes);
  }
  return Encode(answer);
}

std::vector<SyncSend> Sync::OnAnswer(const SyncSend& sent,
                                     std::string_view body,
                                     common::TimePoint now) {
  const SyncMessage answer = DecodeSyncMessage(body);
  const bool merged = this->Merge(sent.to, answer, now);
  const DigestSummary mine = this->view.Summary();
  // After a push the two may differ by what is still on its way to either; the
  // periodic comparison finds what is left.
  if (mine == answer.summary || sent.step == SyncStep::kPush)
    return {};
  if (sent.step == SyncStep::kCompare && mine.high > answer.summary.high) {
    auto append = this->Append(sent.to, answer.summary.high);
    if (!append.empty())
      return append;
  }
  return this->Repair(sent, answer, merged);
}

std::vector<SyncSend> Sync::Append(const std::string& to, Version after) {
  SyncMessage next = this->Header();
  next.objects = this->view.Newest(after, this->options.recent_bytes);
  if (next.objects.empty())
    return {};
  return {{to, kDeltaMessage, Encode(next), SyncStep::kAppend, 0, false}};
}

std::vector<SyncSend> Sync::Repair(const SyncSend& sent,
                                   const SyncMessage& answer,
                                   bool merged) {
  SyncMessage next = this->Header();
  next.digest = this->view.MakeDigest();
  if (answer.digest) {
    Delta delta = this->view.DeltaSince(*answer.digest);
    next.objects = std::move(delta.objects);
    next.more = delta.more;
    // Without this, two hosts that each refuse what the other holds (a dropped
    // tombstone) would exchange it for ever.
    const bool progress =
        merged || answer.more || sent.more || sent.repairs <= 1;
    const bool finished = next.objects.empty() && !answer.more;
    if (!progress || finished || sent.repairs >= kMaxRepairs)
      return {};
  }
  return {{sent.to, kDeltaMessage, Encode(next), SyncStep::kRepair,
           sent.repairs + 1, next.more}};
}

bool Sync::ready() const {
  const common::RankedLock lock(this->mutex);
  return this->is_ready;
}

void Sync::OnPlatformComplete() {
  const common::RankedLock lock(this->mutex);
  this->is_ready = true;
}

std::vector<HostLag> Sync::Lags(const std::set<std::string>& known,
                                common::TimePoint now) const {
  const DigestSummary mine = this->view.Summary();
  const common::RankedLock lock(this->mutex);
  return this->progress.Lags(known, mine, now);
}

void Sync::Retain(const std::set<std::string>& known) {
  const common::RankedLock lock(this->mutex);
  this->progress.Retain(known);
}

}  // namespace jujuberock::table
