#ifndef CORE_DISPATCH_PROCESS_CONTINUITY_H_
#define CORE_DISPATCH_PROCESS_CONTINUITY_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Tells whether the process behind an endpoint's address is still the one that
// has registered it, and whether it ran on after some time.
//
// A connection leads to one process for as long as it is open. So a host keeps
// one open to each endpoint, on which nothing is sent. Endpoints close idle
// connections; as long as a new one is accepted at once, the process is the
// same, unless it broke a response at that moment: the connections of a process
// that ends close together. Otherwise another process may have taken its place,
// with the same id and address and another version of its program, and its
// registration may lag. The endpoint is then uncertain until it has registered
// anew, which gives it a new record, or until its registration has stayed the
// same for so long that its former process can't have written it.
//
// Before the first connection an endpoint is certain: nothing shows that its
// registration is out of date. Pure state machine, not thread-safe.
class ProcessContinuity {
 public:
  // The watched connection is open.
  void OnConnected(common::TimePoint now);
  // The endpoint has closed the watched connection. This is noticed now and may
  // have happened at any time since `earliest`.
  void OnClosed(common::TimePoint earliest, common::TimePoint now);
  // The endpoint has broken the connection of a response at `broken_at`.
  void OnResponseBroken(common::TimePoint broken_at, common::TimePoint now);
  // The watched connection has got no sign of life for too long.
  void OnSilent(common::TimePoint now);
  // No connection could be opened.
  void OnConnectFailed(common::TimePoint now);
  // The endpoint accepts connections, but closes them at once, because it has
  // too many. Nothing is known until OnConnected() is called.
  void OnUnwatched();
  // The registration, as the store had it at `read_at`, is the one that this
  // host goes by. It follows the start of a process within `lag`, as long as
  // the store answers, which it has done since `answering_since`.
  void OnRegistrationRead(common::TimePoint read_at,
                          common::TimePoint answering_since,
                          common::Duration lag);

  // Whether the process is the one that is registered.
  bool IsCertain() const { return !this->is_uncertain; }
  // Since when the connection that is open has led to the same process; nothing
  // if none is open.
  std::optional<common::TimePoint> connected_since() const {
    return this->is_open ? this->watched_since : std::nullopt;
  }
  // Incremented when another process may have taken the place of the former.
  uint64_t generation() const { return this->replacements; }

  // Whether the process runs on although it closed a connection at `closed_at`;
  // nothing if that can't be told. Asked at least kCloseTime later.
  std::optional<bool> RunsAfter(common::TimePoint closed_at) const;

  // The connections of a process that ends are closed within this time.
  static constexpr common::Duration kCloseTime = std::chrono::milliseconds(20);

 private:
  // A connection that is accepted within this time after the former one was
  // closed leads to the same process, because no process starts that fast.
  static constexpr common::Duration kMaxGap = std::chrono::milliseconds(100);
  // An endpoint that has too many connections closes new ones sooner. That says
  // nothing about its process.
  static constexpr common::Duration kMinLifetime =
      std::chrono::milliseconds(200);
  static constexpr size_t kMaxClosings = 8;

  void BecomeUncertain(common::TimePoint now);
  // Whether a watched connection was closed together with one that was closed
  // at this time.
  bool HasClosingAt(common::TimePoint closed_at) const;

  bool is_open = false;
  bool is_uncertain = false;
  // When the connection that is open, or the last one, was opened.
  common::TimePoint opened_at;
  // Connections since then, without a gap, have led to one process.
  std::optional<common::TimePoint> watched_since;
  // When the last connection was closed at the earliest.
  common::TimePoint gap_began;
  std::optional<common::TimePoint> replaced_at;
  std::optional<common::TimePoint> response_broken_at;
  // When the last watched connections were closed.
  std::deque<common::TimePoint> closings;
  uint64_t replacements = 0;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_PROCESS_CONTINUITY_H_
