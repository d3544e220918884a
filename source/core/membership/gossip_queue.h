#ifndef CORE_MEMBERSHIP_GOSSIP_QUEUE_H_
#define CORE_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <map>
#include <string>
#include <vector>

#include "core/membership/message.h"

namespace jujuberock::membership {

// Gossip items waiting to be piggybacked on messages. Each item is transmitted
// a number of times that grows with the logarithm of the zone's size, enough to
// reach every host of the zone.
class GossipQueue {
 public:
  // Adds an item, replacing an older one about the same host, endpoint or zone.
  void Add(const GossipItem& item);

  // Returns the items for one message of at most `bytes`, least transmitted
  // first. `zone_size` is the number of hosts in the zone.
  std::vector<GossipItem> Take(size_t bytes, size_t zone_size);

  size_t size() const { return this->items.size(); }

 private:
  struct QueuedItem {
    GossipItem item;
    size_t transmits = 0;
  };

  // Keyed by kind and name of what the item is about.
  std::map<std::string, QueuedItem> items;
};

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_GOSSIP_QUEUE_H_
