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

// Cache events in a row, the first with this sequence number.
struct EventRun {
  uint64_t first_sequence = 0;
  std::vector<routing::CacheEvent> events;
  // The endpoint's numbers went back: it restarted with an empty cache.
  bool restarted = false;
};

// One endpoint in a message. It is kept small, since a host receives one for
// each endpoint of its zone all the time; the rest is sent with a full report.
struct LoadEntry {
  // Steps in which queued tokens are sent.
  static constexpr uint64_t kQueuedStep = 64;

  uint32_t endpoint_id = 0;
  // Low 16 bits of the time of the report in milliseconds, on the endpoint's
  // own clock. The receiver completes it from the last report that it holds.
  uint16_t as_of_ms_low = 0;
  uint32_t running = 0;
  uint32_t queued_steps = 0;
  struct Full {
    std::string endpoint;
    routing::LoadReport report;
  };
  std::optional<Full> full;
  // Cache events since the last message, unless there were none or they went
  // over the budget; a receiver notices the gap by the sequence numbers.
  std::optional<EventRun> cache;
};

// Message `load_reports` from the host that polls the endpoints to the other
// hosts of its zone.
struct LoadMessage {
  std::vector<LoadEntry> entries;
};

struct NamedReport {
  std::string endpoint;
  routing::LoadReport report;
  std::optional<EventRun> cache;
};

struct ExchangeOptions {
  common::Duration min_period = std::chrono::milliseconds(250);
  // Bytes of load entries that a host may receive in a second. It sends about
  // as much, and the frames around them take as much again; membership and the
  // table take 2 KB/s of the 6 KB/s that a host has for control.
  double receive_budget_bytes_per_s = 900;
  // The same for cache events; each host may send its even share of it.
  double event_budget_bytes_per_s = 400;
  // An endpoint that was not heard of for this long is polled by the next host
  // in rendezvous order, and so on for each further host.
  common::Duration takeover_delay = std::chrono::milliseconds(1500);
  // Full reports are repeated this often, for hosts that have missed them. A
  // host that misses one polls the endpoint itself when its turn comes.
  common::Duration full_period = std::chrono::seconds(60);
};

// Shares the polling of load reports among the hosts of a zone: each endpoint
// is polled by one of them, which sends what changed to the others. The hosts
// need not agree on their number; a wrong view costs a poll too many or a late
// report. Pure state machine, not thread-safe.
class Exchange {
 public:
  Exchange(std::string self, ExchangeOptions options);

  // Endpoints of this host's own zone.
  void SetEndpoints(std::vector<std::string> endpoints, common::TimePoint now);
  // Live hosts of the zone, this one included.
  void SetHosts(std::vector<std::string> hosts);

  // Time between two polls of one endpoint; grows with the endpoints so that
  // the traffic stays within its budget.
  common::Duration Period() const;

  // Endpoints that this host should poll now. Each counts as asked.
  std::vector<std::string> TakeDuePolls(common::TimePoint now);

  void OnPolled(const std::string& endpoint,
                const routing::LoadReport& report,
                common::TimePoint now);
  // Cache events fetched with the report.
  void OnPolledEvents(const std::string& endpoint, EventRun run);

  // What the other hosts of the zone should be sent now; empty when nothing
  // changed. Call once a period.
  LoadMessage TakeMessage(common::TimePoint now);

  // Reports that are newer than those held. Entries of endpoints whose full
  // report is unknown are skipped until it is repeated.
  std::vector<NamedReport> OnMessage(const LoadMessage& message,
                                     common::TimePoint now);

  // Position of this host in the rendezvous order of an endpoint; 0 polls it.
  size_t RankOf(std::string_view endpoint) const;

 private:
  struct State {
    uint32_t id = 0;
    size_t rank = 0;
    std::optional<routing::LoadReport> report;
    // Last report by whichever way it came; set to the time of adding first.
    common::TimePoint heard_at;
    std::optional<common::TimePoint> asked_at;
    // Whether this host polled it since the last message.
    bool unsent = false;
    common::TimePoint full_sent_at;
    bool full_sent = false;
    uint64_t full_kv_used_blocks = 0;
    EventRun unsent_events;
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
