#ifndef CORE_HANDOVER_PEER_CHOICE_H_
#define CORE_HANDOVER_PEER_CHOICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"

namespace jujuberock::handover {

// A host that takes requests over from others.
struct PeerHost {
  std::string name;
  std::string zone;
  // Where it takes them.
  std::string address;

  friend bool operator==(const PeerHost&, const PeerHost&) = default;
};

// Chooses the host that a request is handed over to: one of this zone if there
// is any that may serve it, else one of another zone. Hosts that could not
// serve a request are left out for a while. Pure state machine, not
// thread-safe.
class PeerChoice {
 public:
  PeerChoice(std::string zone, uint64_t seed);

  // A host that does not reach the endpoints either, is stopping or has an
  // older configuration is not asked for this time.
  static constexpr common::Duration kRefusedPause = std::chrono::seconds(1);
  // The same for one that can't be reached or does not answer.
  static constexpr common::Duration kSilentPause = std::chrono::seconds(3);

  // Sets the other hosts that take requests over.
  void SetHosts(std::vector<PeerHost> hosts);

  // Returns a host that may serve a request of the service, is not in `asked`
  // and whose zone `allows`; nothing if there is none.
  std::optional<PeerHost> Choose(
      const std::string& service,
      const std::set<std::string>& asked,
      const std::function<bool(const std::string& zone)>& allows,
      common::TimePoint now);

  void OnSent(const std::string& host) { ++this->in_flight[host]; }
  void OnEnded(const std::string& host);
  void OnRefused(const std::string& host,
                 const std::string& service,
                 common::TimePoint now);
  void OnSilent(const std::string& host, common::TimePoint now);

 private:
  // A host, and the service that it can't serve; empty for all of them.
  using PauseKey = std::pair<std::string, std::string>;

  bool IsPaused(const PauseKey& key, common::TimePoint now) const;
  int64_t InFlightOf(const PeerHost& host) const;

  std::string zone;
  common::Random random;
  std::vector<PeerHost> hosts;
  std::map<PauseKey, common::TimePoint> paused_until;
  std::map<std::string, int64_t> in_flight;
};

}  // namespace jujuberock::handover

#endif  // CORE_HANDOVER_PEER_CHOICE_H_
