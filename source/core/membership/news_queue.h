#ifndef CORE_MEMBERSHIP_NEWS_QUEUE_H_
#define CORE_MEMBERSHIP_NEWS_QUEUE_H_

#include <map>
#include <string>
#include <vector>

#include "core/membership/message.h"

namespace jujuberock::membership {

// News that waits to travel on messages. Each piece is sent a number of times
// that grows with the logarithm of the zone, enough to reach all of it.
class NewsQueue {
 public:
  // Adds news, in place of older news of the same host, endpoint or zone.
  void Add(const News& news);

  // The news for one message of at most `bytes`, least sent first.
  // `zone_size` is the number of hosts in the zone.
  std::vector<News> Take(size_t bytes, size_t zone_size);

  size_t size() const { return this->waiting.size(); }

 private:
  struct Item {
    News news;
    size_t sent = 0;
  };

  // By kind and name of the news' subject.
  std::map<std::string, Item> waiting;
};

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_NEWS_QUEUE_H_
