#ifndef CORE_LOAD_EXCHANGE_EXCHANGE_H_
#define CORE_LOAD_EXCHANGE_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/routing/types.h"

namespace jujuberock::load_exchange {

// Consecutive cache events, starting at this sequence number.
struct EventBatch {
  uint64_t first_sequence = 0;
  std::vector<routing::CacheEvent> events;
  // The endpoint's sequence numbers started over: it restarted with an empty
  // cache.
  bool restarted = false;
};

// The load of one endpoint in a message. Kept small, since a host receives one
// for each endpoint of its zone every period; everything else is sent with a
// full report.
struct LoadEntry {
  // Unit in which queued tokens are sent.
  static constexpr uint64_t kQueuedTokensStep = 64;

  uint32_t endpoint_id = 0;
  // Low 16 bits of the report's time in milliseconds, on the endpoint's own
  // clock. The receiver reconstructs the rest from the last report that it
  // holds.
  uint16_t as_of_ms_low = 0;
  uint32_t running = 0;
  uint32_t queued_steps = 0;
  struct Full {
    std::string endpoint;
    routing::LoadReport report;
  };
  std::optional<Full> full;
  // Cache events since the last message; absent if there were none or if they
  // exceeded the budget, in which case a receiver sees a gap in the sequence
  // numbers.
  std::optional<EventBatch> cache_events;
};

// Message `load_reports`, from the host that polls the endpoints to the other
// hosts of its zone.
struct LoadMessage {
  std::vector<LoadEntry> entries;
};

struct ReceivedReport {
  std::string endpoint;
  routing::LoadReport report;
  std::optional<EventBatch> cache_events;
};

struct ExchangeOptions {
  common::Duration min_period = std::chrono::milliseconds(250);
  // Budget for load entries that a host receives, in bytes per second. It sends
  // about as much, and the framing adds the same amount again; membership and
  // the table take 2 KB/s of the 6 KB/s that a host has for control traffic.
  double receive_budget_bytes_per_s = 900;
  // The same for cache events; each host may send its even share of it.
  double event_budget_bytes_per_s = 400;
  // If no report of an endpoint arrives for this long, the next host in
  // rendezvous order polls it, and so on for each further host.
  common::Duration takeover_delay = std::chrono::milliseconds(1500);
  // How often full reports are repeated, for hosts that missed one. Such a host
  // polls the endpoint itself when its turn in rendezvous order comes.
  common::Duration full_period = std::chrono::seconds(60);
};

// Distributes the polling of load reports among the hosts of a zone: each
// endpoint is polled by one host, which sends changes to the others. The hosts
// need not agree on the set of live hosts; a wrong view costs an extra poll or
// a late report. Pure state machine, not thread-safe.
class Exchange {
 public:
  Exchange(std::string self, ExchangeOptions options);

  // Sets the endpoints of this host's own zone.
  void SetEndpoints(std::vector<std::string> endpoints, common::TimePoint now);
  // Sets the live hosts of the zone, including this one.
  void SetHosts(std::vector<std::string> hosts);

  // Time between two polls of one endpoint; grows with the number of endpoints
  // so that the traffic stays within its budget.
  common::Duration PollPeriod() const;

  // Returns the endpoints to poll now and marks them as polled.
  std::vector<std::string> TakeDuePolls(common::TimePoint now);

  void OnPolled(const std::string& endpoint,
                const routing::LoadReport& report,
                common::TimePoint now);
  // Cache events fetched together with the report.
  void OnPolledEvents(const std::string& endpoint, EventBatch batch);

  // Returns the message to send to the other hosts of the zone; empty if
  // nothing changed. Call once per period.
  LoadMessage TakeMessage(common::TimePoint now);

  // Returns the reports that are newer than the stored ones. Entries of
  // endpoints whose full report is unknown are skipped until it is repeated.
  std::vector<ReceivedReport> OnMessage(const LoadMessage& message,
                                        common::TimePoint now);

  // Position of this host in the rendezvous order of an endpoint; the host at 0
  // polls it.
  size_t RankOf(std::string_view endpoint) const;

 private:
  struct State {
    uint32_t id = 0;
    size_t rank = 0;
    std::optional<routing::LoadReport> report;
    // Time of the last report, whether polled or received; initially the time
    // of adding.
    common::TimePoint last_report_at;
    std::optional<common::TimePoint> last_poll_at;
    // Whether this host has polled it since the last message.
    bool unsent = false;
    common::TimePoint last_full_at;
    bool full_sent = false;
    uint64_t last_full_kv_used_blocks = 0;
    EventBatch unsent_events;
  };

  size_t EventsPerMessage(common::TimePoint now) const;
  void AttachEvents(State& state, LoadEntry& entry, size_t& events_left);
  std::optional<routing::LoadReport> ReportOf(const State& state,
                                              const LoadEntry& entry) const;
  bool IsDue(const State& state, common::TimePoint now) const;
  bool NeedsFull(const State& state, common::TimePoint now) const;
  void RefreshRanks();

  std::string self;
  ExchangeOptions options;
  std::vector<std::string> hosts;
  common::TimePoint last_message;
  std::map<std::string, State, std::less<>> endpoints;
  std::map<uint32_t, std::string> names_by_id;
};

}  // namespace jujuberock::load_exchange

#endif  // CORE_LOAD_EXCHANGE_EXCHANGE_H_
