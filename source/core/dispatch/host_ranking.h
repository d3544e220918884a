#ifndef CORE_DISPATCH_HOST_RANKING_H_
#define CORE_DISPATCH_HOST_RANKING_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace jujuberock::dispatch {

// The known hosts in the rendezvous hashing order of a key, so that they share
// out a task without a message: hosts with the same view agree on the order, and
// one host more or less changes the place of others by one at most.
class HostRanking {
 public:
  void SetHosts(std::set<std::string> hosts, std::string own_name) {
    this->hosts = std::move(hosts);
    this->own_name = std::move(own_name);
  }
  size_t count() const { return this->hosts.size(); }
  // Returns the place of this host for the key, 0 for the first; nothing if it
  // does not know of itself yet.
  std::optional<size_t> RankFor(std::string_view key) const;

 private:
  std::set<std::string> hosts;
  std::string own_name;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_HOST_RANKING_H_
