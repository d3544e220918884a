#ifndef CORE_DISPATCH_BRITTLE_LIMIT_H_
#define CORE_DISPATCH_BRITTLE_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// What an endpoint, or any endpoint of a service, last said about the refusals
// that it survives. The statement expires, so that a host that hears nothing
// for long falls back to the usual rules.
class BrittleStatement {
 public:
  // `limit` is the number of refusals in a second above which the endpoint
  // crashes; nothing says that it is not brittle.
  void Set(std::optional<int64_t> limit, common::TimePoint now) {
    this->limit = limit;
    this->until = now + kLifetime;
  }
  bool IsKnown(common::TimePoint now) const {
    return this->until && now < *this->until;
  }
  // Returns nothing if the endpoint is not brittle or nothing is known.
  std::optional<int64_t> LimitAt(common::TimePoint now) const {
    return this->IsKnown(now) ? this->limit : std::nullopt;
  }

 private:
  static constexpr common::Duration kLifetime = std::chrono::seconds(10);

  std::optional<int64_t> limit;
  std::optional<common::TimePoint> until;
};

// Limits what this host sends to one endpoint that crashes if it refuses too
// many requests in a second. Each host has a share of the endpoint's slots and
// a share of the refusals, both by its place in an order on which all hosts
// agree (see HostRanking). What runs within the share of the slots finds room
// as long as all hosts keep to the limit, and so does a share of the slots that
// a recent report says are free; each send beyond them may be refused.
// Pure state machine, not thread-safe.
class BrittleLimit {
 public:
  // How the slots and refusals are shared out.
  struct Terms {
    // Refusals in a second, over all hosts, above which the endpoint crashes.
    int64_t limit = 0;
    int64_t slots = 0;
    size_t hosts = 0;
    // This host's places in the orders for the slots and for the refusals;
    // nothing if it does not know of itself yet.
    std::optional<size_t> slot_rank;
    std::optional<size_t> refusal_rank;
    // Requests of this host that the endpoint has now.
    int64_t own_in_flight = 0;
  };

  BrittleStatement& statement() { return this->own_statement; }
  const BrittleStatement& statement() const { return this->own_statement; }

  // A request is sent to the endpoint. Recorded at any time, as refusals are.
  void OnSent(common::TimePoint now);
  // The endpoint has reported its load: the slots that no request has or waits
  // for.
  void OnReport(int64_t free_slots, common::TimePoint now);
  // A request has ended without an accepting answer, so it may have been
  // refused. Recorded also while the endpoint is not brittle, since it may turn
  // brittle at any moment.
  void OnRefused(common::TimePoint now);

  // Whether this host may send a request now.
  bool Allows(const Terms& terms, common::TimePoint now) const;

 private:
  // The limit holds for any period of this length.
  static constexpr common::Duration kPeriod = std::chrono::seconds(1);
  // A report that all slots are taken keeps requests away for this long. Later
  // reports arrive only with answers, so it must not hold for good.
  static constexpr common::Duration kFullReportLifetime =
      std::chrono::milliseconds(200);
  // A report decides for this long whether slots are free beyond the share.
  static constexpr common::Duration kReportLifetime =
      std::chrono::milliseconds(300);
  // Requests that were sent this long before a report may not be in it.
  static constexpr common::Duration kReportLag = std::chrono::milliseconds(100);
  // Refusals, and sends, that are remembered; no share is larger.
  static constexpr size_t kMaxRemembered = 128;

  // Records `now` and forgets times that are older than the period.
  static void Remember(std::deque<common::TimePoint>& times,
                       common::TimePoint now);
  static size_t CountAfter(const std::deque<common::TimePoint>& times,
                           common::TimePoint start);

  // Whether the last evidence says that the endpoint has no free slot.
  bool IsFull(common::TimePoint now) const;
  // Whether the last report, if it is recent, leaves this host a free slot
  // beyond its share.
  bool HasSpareSlot(const Terms& terms) const;

  BrittleStatement own_statement;
  // The last refusals, the oldest first.
  std::deque<common::TimePoint> refusals;
  std::deque<common::TimePoint> sends;
  std::optional<common::TimePoint> reported_at;
  int64_t free_slots = 0;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_BRITTLE_LIMIT_H_
