#include "core/routing/conversation_owners.h"

#include <algorithm>
#include <cmath>

#include "core/common/hash.h"

namespace jujuberock::routing {

namespace {

// Half-life of the query counts.
constexpr common::Duration kHalfLife = std::chrono::seconds(10);

// Below this average per host the counts are too small to indicate load.
constexpr double kMinAverage = 8;

}  // namespace

ConversationOwners::ConversationOwners(double load_bound)
    : load_bound(load_bound) {}

void ConversationOwners::SetHosts(std::vector<std::string> names) {
  std::vector<Host> next;
  this->total_recent_queries = 0;
  for (std::string& name : names) {
    auto known = std::find_if(this->hosts.begin(), this->hosts.end(),
                              [&](const Host& h) { return h.name == name; });
    const double recent =
        known == this->hosts.end() ? 0 : known->recent_queries;
    const uint64_t hash = common::Hash64(name);
    next.push_back({std::move(name), hash, recent});
    this->total_recent_queries += recent;
  }
  this->hosts = std::move(next);
}

std::string ConversationOwners::OwnerOf(uint64_t conversation,
                                        common::TimePoint now) {
  if (this->hosts.empty())
    return {};
  this->Decay(now);
  const double average = (this->total_recent_queries + 1) /
                         static_cast<double>(this->hosts.size());
  const double limit = this->load_bound * std::max(average, kMinAverage);
  Host* best = nullptr;
  uint64_t best_rank = 0;
  for (Host& host : this->hosts) {
    if (host.recent_queries + 1 > limit)
      continue;
    const std::string_view bytes(reinterpret_cast<const char*>(&conversation),
                                 sizeof conversation);
    const uint64_t rank = common::Hash64(bytes, host.hash);
    if (!best || rank > best_rank) {
      best = &host;
      best_rank = rank;
    }
  }
  // At least one host is at or below the average.
  best->recent_queries += 1;
  this->total_recent_queries += 1;
  return best->name;
}

std::optional<uint64_t> ConversationOwners::ConversationOf(
    std::string_view team,
    std::string_view conversation_name,
    const std::vector<BlockKey>& block_keys) {
  if (!conversation_name.empty())
    return common::Hash64(conversation_name, common::Hash64(team));
  if (block_keys.empty())
    return std::nullopt;
  return block_keys.front().low;
}

void ConversationOwners::Decay(common::TimePoint now) {
  const double factor = std::exp2(-common::ToSeconds(now - this->decayed_at) /
                                  common::ToSeconds(kHalfLife));
  for (Host& host : this->hosts)
    host.recent_queries *= factor;
  this->total_recent_queries *= factor;
  this->decayed_at = now;
}

}  // namespace jujuberock::routing
