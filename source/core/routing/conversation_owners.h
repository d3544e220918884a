#ifndef CORE_ROUTING_CONVERSATION_OWNERS_H_
#define CORE_ROUTING_CONVERSATION_OWNERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"
#include "core/routing/block_key.h"

namespace jujuberock::routing {

// Assigns conversations to the hosts of a zone by rendezvous hashing with
// bounded load: a host that recently received more than `load_bound` times the
// average number of queries is skipped in favour of the next in rank. Hosts may
// disagree for a while, which costs a missed prefix.
//
// Not thread-safe: the caller guards it together with the Router.
class ConversationOwners {
 public:
  static constexpr double kLoadBound = 1.25;

  explicit ConversationOwners(double load_bound = kLoadBound);

  // Sets the live hosts of this zone, including this one.
  void SetHosts(std::vector<std::string> hosts);

  // Returns the owner of a conversation, or an empty string if there are no
  // hosts. Counts the query towards the owner's load.
  std::string OwnerOf(uint64_t conversation, common::TimePoint now);

  // Returns the hash that identifies a conversation: of the caller's
  // conversation name or, without one, of the prompt's first block. A request
  // with neither belongs to no conversation.
  static std::optional<uint64_t> ConversationOf(
      std::string_view team,
      std::string_view conversation_name,
      const std::vector<BlockKey>& block_keys);

 private:
  struct Host {
    std::string name;
    uint64_t hash = 0;
    double recent_queries = 0;
  };

  void Decay(common::TimePoint now);

  double load_bound;
  std::vector<Host> hosts;
  double total_recent_queries = 0;
  common::TimePoint decayed_at;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_CONVERSATION_OWNERS_H_
