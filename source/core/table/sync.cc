#include "core/table/sync.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jujuberock::table {

namespace {

// With 256 KB per message, enough for a table of 16 MB.
constexpr int kMaxRepairRounds = 64;

// Reduces `names` to `count` randomly chosen elements.
void SelectRandom(std::vector<std::string>* names,
                  size_t count,
                  common::Random* random) {
  const size_t kept = std::min(count, names->size());
  for (size_t i = 0; i < kept; ++i) {
    const size_t other = i + random->NextBelow(names->size() - i);
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
    Object& waiting = this->pending_push[{object.kind, object.name}];
    if (waiting.version < object.version)
      waiting = object;
  }
}

std::vector<SyncRequest> Sync::OnTick(common::TimePoint now,
                                      const PeerSet& peers) {
  std::vector<SyncRequest> sends;
  if (now >= this->next_push) {
    this->next_push = now + this->options.push_period;
    sends = this->Push(peers);
  }
  if (now >= this->next_compare) {
    // Jitter, so that hosts that started together do not stay synchronized.
    const auto period = this->options.compare_period;
    const auto shift = this->random.NextBelow(period.count() / 4 + 1);
    this->next_compare = now + period - common::Duration(shift);
    auto compares = this->ComparePeers(peers);
    std::move(compares.begin(), compares.end(), std::back_inserter(sends));
  }
  return sends;
}

std::vector<SyncRequest> Sync::Push(const PeerSet& peers) {
  SyncMessage message = this->MakeMessage();
  {
    const common::RankedLock lock(this->mutex);
    for (auto& [key, object] : this->pending_push)
      message.objects.push_back(std::move(object));
    this->pending_push.clear();
  }
  if (message.objects.empty())
    return {};
  std::vector<std::string> targets = peers.zone_peers;
  SelectRandom(&targets, this->options.fanout, &this->random);
  std::vector<SyncRequest> sends;
  const std::string body = Encode(message);
  for (std::string& target : targets)
    sends.push_back(
        {std::move(target), kDeltaMessage, body, SyncStep::kPush, 0, false});
  return sends;
}

std::vector<SyncRequest> Sync::ComparePeers(const PeerSet& peers) {
  std::vector<SyncRequest> sends;
  std::vector<std::string> target = peers.zone_peers;
  SelectRandom(&target, 1, &this->random);
  if (!target.empty())
    sends.push_back(this->MakeDigestRequest(target.front()));
  if (!peers.is_delegate || peers.other_zones.empty())
    return sends;
  const size_t turn = this->next_zone_index++ % peers.other_zones.size();
  const auto zone =
      std::next(peers.other_zones.begin(), static_cast<std::ptrdiff_t>(turn));
  target = zone->second;
  SelectRandom(&target, 1, &this->random);
  if (!target.empty())
    sends.push_back(this->MakeDigestRequest(target.front()));
  return sends;
}

SyncMessage Sync::MakeMessage() const {
  SyncMessage message;
  message.summary = this->view.Summary();
  message.ready = this->ready();
  return message;
}

SyncRequest Sync::MakeDigestRequest(const std::string& host) const {
  return {host, kDigestMessage, Encode(this->MakeMessage()), SyncStep::kCompare,
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
  // If a ready peer has the same digest, this host is not missing anything.
  if (message.ready && message.summary == mine && !message.more)
    this->is_ready = true;
  return !changed.empty();
}

std::string Sync::OnRequest(const std::string& from,
                            std::string_view body,
                            common::TimePoint now) {
  const SyncMessage request = DecodeSyncMessage(body);
  this->Merge(from, request, now);
  SyncMessage response = this->MakeMessage();
  if (response.summary == request.summary)
    return Encode(response);
  if (request.digest) {
    response.digest = this->view.MakeDigest();
    Delta delta = this->view.DeltaSince(*request.digest);
    response.objects = std::move(delta.objects);
    response.more = delta.more;
  } else if (request.objects.empty()) {
    // Usually only the latest changes are missing. Sending them now saves a
    // second exchange.
    response.objects = this->view.ObjectsNewerThan(request.summary.max_version,
                                                   this->options.recent_bytes);
  }
  return Encode(response);
}

std::vector<SyncRequest> Sync::OnAnswer(const SyncRequest& sent,
                                        std::string_view body,
                                        common::TimePoint now) {
  const SyncMessage response = DecodeSyncMessage(body);
  const bool merged = this->Merge(sent.to, response, now);
  const DigestSummary mine = this->view.Summary();
  // After a push the two hosts may differ only by changes that are still in
  // flight; the periodic comparison finds any remaining difference.
  if (mine == response.summary || sent.step == SyncStep::kPush)
    return {};
  if (sent.step == SyncStep::kCompare &&
      mine.max_version > response.summary.max_version) {
    auto sends = this->SendNewer(sent.to, response.summary.max_version);
    if (!sends.empty())
      return sends;
  }
  return this->SendRepair(sent, response, merged);
}

std::vector<SyncRequest> Sync::SendNewer(const std::string& to, Version after) {
  SyncMessage next = this->MakeMessage();
  next.objects = this->view.ObjectsNewerThan(after, this->options.recent_bytes);
  if (next.objects.empty())
    return {};
  return {{to, kDeltaMessage, Encode(next), SyncStep::kSendNewer, 0, false}};
}

std::vector<SyncRequest> Sync::SendRepair(const SyncRequest& sent,
                                          const SyncMessage& response,
                                          bool merged) {
  SyncMessage next = this->MakeMessage();
  next.digest = this->view.MakeDigest();
  if (response.digest) {
    Delta delta = this->view.DeltaSince(*response.digest);
    next.objects = std::move(delta.objects);
    next.more = delta.more;
    // Stop when nothing changes: two hosts that each reject an object of the
    // other (one has dropped the tombstone) would otherwise repeat the exchange
    // forever.
    const bool progress =
        merged || response.more || sent.more || sent.repair_rounds <= 1;
    const bool finished = next.objects.empty() && !response.more;
    if (!progress || finished || sent.repair_rounds >= kMaxRepairRounds)
      return {};
  }
  return {{sent.to, kDeltaMessage, Encode(next), SyncStep::kRepair,
           sent.repair_rounds + 1, next.more}};
}

bool Sync::ready() const {
  const common::RankedLock lock(this->mutex);
  return this->is_ready;
}

void Sync::OnPlatformListed() {
  const common::RankedLock lock(this->mutex);
  this->is_ready = true;
}

std::vector<LaggingHost> Sync::LaggingHosts(const std::set<std::string>& known,
                                            common::TimePoint now) const {
  const DigestSummary mine = this->view.Summary();
  const common::RankedLock lock(this->mutex);
  return this->progress.LaggingHosts(known, mine, now);
}

void Sync::RetainHosts(const std::set<std::string>& known) {
  const common::RankedLock lock(this->mutex);
  this->progress.RetainHosts(known);
}

}  // namespace jujuberock::table
