#ifndef CORE_GATEWAY_RELAYED_STORE_H_
#define CORE_GATEWAY_RELAYED_STORE_H_

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/catalog/object_store.h"
#include "core/common/metrics.h"
#include "core/common/stall_detector.h"
#include "core/events/event_log.h"
#include "core/gateway/relay_client.h"
#include "core/relay/relay_choice.h"
#include "core/relay/store_mirror.h"

namespace jujuberock::gateway {

// The platform's store, with relays: lists and watches of the watched kinds are
// answered by a relay of the zone where there is one, all other calls go to the
// store itself. Without relays, all calls do. Used on one worker.
//
// An answer of a relay that is older than what this host has, or of a former
// era, changes nothing. If no relay has a useful answer, the store is asked. If
// a relay says that the store does not answer it, and no other relay has news
// of the store, the call fails as the relay's own call did, and the store is
// asked by one of the next.
class RelayedStore : public catalog::ObjectStore {
 public:
  struct Options {
    relay::RelayChoiceOptions choice;
    // Longest wait of a call to a relay.
    common::Duration max_wait;
    // Gaps between calls of OnTick() that are longer are stalls.
    common::Duration stall_threshold;
  };
  // A view that is this much older than the wait of a watch is read from the
  // store itself. With one relay that does not answer in between, views stay
  // younger.
  static constexpr common::Duration kMaxExtraAge =
      std::chrono::milliseconds(600);
  // A relay's next confirmation may come this much later than the wait of its
  // watch.
  static constexpr common::Duration kSpareWait = std::chrono::milliseconds(200);
  // Keeps a host whose view is old from asking without pause.
  static constexpr common::Duration kMinWait = std::chrono::milliseconds(100);
  // While no relay has a view, a host whose own call to the store failed makes
  // the next one after this time. All hosts that call as often as relays would
  // burden a store that just comes back.
  static constexpr common::Duration kDirectRetryPause =
      std::chrono::milliseconds(2500);
  // The same after the relays have said that the store does not answer them.
  // The call fails first, so that this host sees the outage as they do.
  static constexpr common::Duration kFirstDirectPause =
      std::chrono::milliseconds(300);
  // Relays that are asked during one call.
  static constexpr int kMaxAttempts = 3;

  RelayedStore(Options options,
               catalog::ObjectStore& direct,
               RelayTransport& transport,
               events::EventLog& log,
               common::MetricRegistry& counters,
               std::function<common::TimePoint()> now);

  // Sets the other hosts of the zone that can be relays.
  void SetHosts(std::vector<relay::RelayHost> hosts) {
    this->choice.SetHosts(std::move(hosts));
  }
  // Sets the callback for news in what Answer() returns.
  void OnMirrorChanged(std::function<void()> callback) {
    this->on_mirror_changed = std::move(callback);
  }
  // Returns the answer to another host's request, or nullopt if it should wait.
  std::optional<relay::RelayAnswer> Answer(const relay::RelayRequest& request,
                                           common::TimePoint arrived_at,
                                           common::TimePoint now);
  void OnTick(common::TimePoint now) { this->stall_detector.OnTick(now); }

  uint64_t era() const override;
  catalog::ObjectSnapshot List(catalog::ObjectKind kind) override;
  catalog::ObjectChanges Watch(catalog::ObjectKind kind,
                               uint64_t revision,
                               common::Duration wait) override;
  std::optional<catalog::StoredObject> Read(catalog::ObjectKind kind,
                                            std::string_view name) override {
    return this->direct.Read(kind, name);
  }
  catalog::WriteReply Create(catalog::ObjectKind kind,
                             std::string_view name,
                             std::string_view content) override {
    return this->direct.Create(kind, name, content);
  }
  catalog::WriteReply Replace(catalog::ObjectKind kind,
                              std::string_view name,
                              uint64_t expected,
                              std::string_view content) override {
    return this->direct.Replace(kind, name, expected, content);
  }

 private:
  struct RelayedRead {
    relay::RelayAnswer answer;
    // Earliest time of the store's confirmation of the answer.
    common::TimePoint confirmed_at;
    // When the changes were certainly not made yet, if the relay knows.
    std::optional<common::TimePoint> changed_after;
  };
  struct KindState {
    // Who answered the last read.
    std::string source;
    // Whether the last call was a successful one to the store itself, so that a
    // watch that continues it is uninterrupted.
    bool is_watching_store = false;
    // Before this, a follower whose relays have no view does not ask the store
    // itself, since it does not answer. Nothing while it does.
    std::optional<common::TimePoint> direct_allowed_at = std::nullopt;
  };

  bool IsRelayed(catalog::ObjectKind kind) const {
    return this->options.choice.min_hosts > 0 && catalog::IsWatched(kind);
  }
  KindState& StateOf(catalog::ObjectKind kind) {
    return this->states[static_cast<size_t>(kind)];
  }
  // How long the next watch may wait, so that the view does not become too old.
  // Zero for lists.
  common::Duration WaitFor(common::Duration wait, common::Duration age) const;
  // Asks relays; nullopt if the store must be asked. Without a revision, all
  // objects are wanted.
  std::optional<RelayedRead> AskRelays(catalog::ObjectKind kind,
                                       std::optional<uint64_t> revision,
                                       common::Duration wait);
  // Returns the answer if it is of use.
  std::optional<RelayedRead> AskRelay(const relay::RelayHost& host,
                                      const relay::RelayRequest& request);
  // Why the answer must not be used; empty if it can be.
  std::string_view FaultOf(const relay::RelayRequest& request,
                           const relay::RelayAnswer& answer) const;
  void LogRejected(const relay::RelayHost& host, std::string_view reason);
  void NoteSource(catalog::ObjectKind kind, const std::string& source);
  void NoteRelays(bool have_answered);
  // Throws if this host must not ask the store itself yet.
  void CheckDirectRetry(catalog::ObjectKind kind);
  // Throws if the store's answer is older than one that a relay gave.
  void CheckDirectEra() const;
  catalog::ObjectSnapshot ListDirect(catalog::ObjectKind kind);
  catalog::ObjectChanges WatchDirect(catalog::ObjectKind kind,
                                     uint64_t revision,
                                     common::Duration wait,
                                     common::TimePoint began_at);
  void OnDirectAnswer(catalog::ObjectKind kind);
  void OnDirectFailure(catalog::ObjectKind kind);
  relay::AnswerOrigin DirectOrigin(common::TimePoint confirmed_at) const {
    return {catalog::ObjectSource::kStore, this->direct.era(), confirmed_at};
  }
  void NotifyMirrorChanged();

  Options options;
  catalog::ObjectStore& direct;
  RelayTransport& transport;
  events::EventLog& log;
  common::Counter& relay_answers;
  common::Counter& direct_answers;
  common::Counter& rejected_answers;
  std::function<common::TimePoint()> now;
  relay::RelayChoice choice;
  relay::StoreMirror mirror;
  common::StallDetector stall_detector;
  std::array<KindState, catalog::kObjectKindCount> states;
  std::function<void()> on_mirror_changed;
  // The newest era that a relay named.
  uint64_t relayed_era = 0;
  bool are_relays_lost = false;
  // Name of the relays in the log.
  std::string relays_name;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_RELAYED_STORE_H_
