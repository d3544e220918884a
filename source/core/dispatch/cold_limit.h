#ifndef CORE_DISPATCH_COLD_LIMIT_H_
#define CORE_DISPATCH_COLD_LIMIT_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "core/common/name_table.h"
#include "core/common/time.h"

namespace jujuberock::dispatch {

// Requests that one host may send to a cold endpoint in any second, if `total`
// are given out to `hosts` hosts. The hosts that are first in the order for the
// endpoint get the remainder.
size_t ColdShare(size_t rank, size_t hosts, size_t total);

enum class ColdState {
  kWarm,
  kCold,
  kWarming,  // it was cold until a moment ago
};

inline constexpr common::NameTable<ColdState, 3> kColdStateNames({"warm",
                                                                  "cold",
                                                                  "warming"});

// Limits what this host sends to one endpoint of a service whose endpoints
// crash if they get many requests while they are cold. The limit holds over all
// hosts, since each takes only the share that its place in the order for the
// endpoint gives it (see HostRanking). After the cold time the shares grow for
// a while: the endpoint has less to do than others, and all hosts would turn to
// it at once. Pure state machine, not thread-safe.
class ColdLimit {
 public:
  // The shares of all hosts grow over this time after the cold time.
  static constexpr common::Duration kWarmingTime = std::chrono::seconds(1);

  // How the requests for an endpoint are shared out.
  struct Terms {
    // Requests a second that a cold endpoint takes, over all hosts. With 0
    // there is no limit.
    double rate = 0;
    // This host's place in the order for the endpoint; nothing if it does not
    // know of itself yet.
    std::optional<size_t> rank;
    size_t hosts = 0;
    // Whether the endpoint counts as cold whatever is known of it.
    bool is_uncertain = false;
  };

  // The endpoint's entry tells until when it is cold, which replaces what
  // former entries told. A time in the past says that it is warm.
  void OnEntry(common::TimePoint cold_until, common::TimePoint now);
  // The endpoint counts as cold until then, whatever its entry tells.
  void AssumeUntil(common::TimePoint cold_until);
  // A request is sent to the endpoint. Recorded also while it is warm, since it
  // may turn cold at any moment.
  void OnSent(common::TimePoint now);

  ColdState StateAt(common::TimePoint now) const;
  // When the last known cold time ends, or ended.
  std::optional<common::TimePoint> cold_until() const;
  // Whether this host may send a request now.
  bool Allows(const Terms& terms, common::TimePoint now) const {
    return this->TimeToShare(terms, now) <= common::Duration(0);
  }
  // Time until this host may send a request, as far as is known; 0 if it may
  // now.
  common::Duration TimeToShare(const Terms& terms, common::TimePoint now) const;

 private:
  // The limit holds for any period of this length.
  static constexpr common::Duration kPeriod = std::chrono::seconds(1);
  // Sends that are remembered; no share is larger.
  static constexpr size_t kMaxSends = 128;

  // Requests that the hosts may send together in the second before `now`;
  // nothing while there is no limit.
  std::optional<size_t> TotalAt(const Terms& terms,
                                common::TimePoint now) const;

  // Time until this host has a share at all, which it has not now.
  common::Duration TimeToFirstShare(const Terms& terms,
                                    common::TimePoint now) const;

  std::optional<common::TimePoint> told_until;
  std::optional<common::TimePoint> assumed_until;
  // The last sends of this host, the oldest first.
  std::deque<common::TimePoint> sends;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_COLD_LIMIT_H_
