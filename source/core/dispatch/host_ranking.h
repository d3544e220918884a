#ifndef CORE_DISPATCH_HOST_RANKING_H_
#define CORE_DISPATCH_HOST_RANKING_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace jujuberock::dispatch {

// The known hosts in the rendezvous hashing order of a key, so that they share
// out a task without a message: hosts with the same view agree on the order,
// and one host more or less changes the place of others by one at most. Not
// thread-safe.
class HostRanking {
 public:
  void SetHosts(const std::set<std::string>& known, std::string_view own);
  size_t count() const { return this->hosts.size(); }
  // Returns the place of this host for the key, 0 for the first; nothing if it
  // does not know of itself yet.
  std::optional<size_t> RankFor(std::string_view key) const;

 private:
  // Keys whose place is remembered; all are forgotten when there are more.
  static constexpr size_t kMaxRanks = 4096;

  std::string own_name;
  std::set<std::string> hosts;
  // The place for each key that was asked about since the hosts changed.
  mutable std::map<std::string, size_t, std::less<>> ranks;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_HOST_RANKING_H_
