#include "core/membership/gossip_queue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace jujuberock::membership {

namespace {

// Transmissions of an item for each doubling of the zone's size. With one probe
// and one ack per second, two are enough to reach all 41 hosts of a zone, with
// a margin for lost messages.
constexpr size_t kTransmitsPerDoubling = 2;

std::string KeyOf(const GossipItem& item) {
  if (const auto* host = std::get_if<HostInfo>(&item))
    return "h" + host->name;
  if (const auto* leaving = std::get_if<LeavingEndpoint>(&item))
    return "e" + leaving->endpoint;
  const auto& zone = std::get<ZoneSummary>(item);
  return "z" + zone.zone + "/" + zone.author;
}

}  // namespace

void GossipQueue::Add(const GossipItem& item) {
  this->items[KeyOf(item)] = {item, 0};
}

std::vector<GossipItem> GossipQueue::Take(size_t bytes, size_t zone_size) {
  const size_t limit = kTransmitsPerDoubling * std::bit_width(zone_size + 1);
  std::vector<std::pair<size_t, std::string>> order;
  for (const auto& [key, queued] : this->items)
    order.emplace_back(queued.transmits, key);
  std::sort(order.begin(), order.end());
  std::vector<GossipItem> taken;
  size_t used = 0;
  for (const auto& [transmits, key] : order) {
    QueuedItem& queued = this->items.at(key);
    const size_t size = EstimatedSize(queued.item);
    // The first item is always taken; otherwise one larger than `bytes` would
    // stay in the queue forever.
    if (!taken.empty() && used + size > bytes)
      continue;
    used += size;
    taken.push_back(queued.item);
    if (++queued.transmits >= limit)
      this->items.erase(key);
  }
  return taken;
}

}  // namespace jujuberock::membership
