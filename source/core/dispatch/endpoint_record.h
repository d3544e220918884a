#ifndef CORE_DISPATCH_ENDPOINT_RECORD_H_
#define CORE_DISPATCH_ENDPOINT_RECORD_H_

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "core/catalog/types.h"
#include "core/common/time.h"
#include "core/dispatch/endpoint_health.h"
#include "core/dispatch/part_cache.h"
#include "core/dispatch/peer_prompt.h"

namespace jujuberock::dispatch {

// Urgencies of requests; 0 goes first.
inline constexpr int kUrgencies = 10;

// What an endpoint said of its load with an answer.
struct LoadReport {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;
};

class EndpointRecord;

// One send in the books of its endpoint, from the send to its end.
struct SendTicket {
  std::shared_ptr<EndpointRecord> endpoint;
  int urgency = 0;
  // Tokens that the engine must read; 0 for plain services.
  int64_t uncached_tokens = 0;
  // The same plus those of the sends that were waiting there before.
  int64_t tokens_ahead = 0;
  int64_t memory_tokens = 0;
  int64_t max_output_tokens = 0;
  // Sends many events.
  bool is_long = false;
  common::TimePoint sent_at;
  common::TimePoint started_at;
  bool started = false;
  bool ended = false;
};

// This host's books of one start of an endpoint. What other hosts send there
// is estimated from the load that the endpoint reports. Not thread-safe.
class EndpointRecord {
 public:
  EndpointRecord(catalog::Endpoint endpoint, int64_t cache_tokens)
      : description(std::move(endpoint)), cache(cache_tokens) {}

  const catalog::Endpoint& endpoint() const { return this->description; }
  void Update(catalog::Endpoint endpoint) {
    this->description = std::move(endpoint);
  }
  EndpointHealth& health() { return this->passive_health; }
  const EndpointHealth& health() const { return this->passive_health; }
  PartCache& part_cache() { return this->cache; }
  const PartCache& part_cache() const { return this->cache; }

  void OnSent(SendTicket& ticket, common::TimePoint now);
  // The first byte of the answer arrived.
  void OnStarted(SendTicket& ticket, common::TimePoint now);
  void OnEnded(SendTicket& ticket, common::TimePoint now);
  void OnLoadReport(const LoadReport& report, common::TimePoint now);
  // Any byte arrived from the endpoint.
  void OnSignOfLife(common::TimePoint now) { this->heard_at = now; }
  // The service answered a request in this time.
  void OnLatency(common::Duration latency);

  int64_t own_in_flight() const { return this->in_flight; }
  int64_t own_waiting() const { return this->in_flight - this->started; }
  int64_t memory_tokens() const { return this->memory; }
  // Tokens to be read before a new request of this urgency; own sends only.
  int64_t PendingTokens(int urgency) const;
  // Requests of other hosts there, running and waiting, as far as known.
  double OthersInFlight(common::TimePoint now) const;
  double OthersWaiting(common::TimePoint now) const;
  // Another host gave the engine a prompt to read.
  void OnPeerPrompt(const PeerPrompt& prompt, common::TimePoint now);
  // Runs of other hosts there and the memory that they need, as far as these
  // have told.
  int64_t PeerRuns(common::TimePoint now) const;
  int64_t PeerMemory(common::TimePoint now) const;
  // Runs that send many events, of all hosts.
  int64_t LongRuns(common::TimePoint now) const;
  // Tokens of other hosts' prompts that the engine has not read yet, if it
  // takes this long for one.
  double PeerTokens(double token_ms, common::TimePoint now) const;
  common::TimePoint last_heard() const { return this->heard_at; }
  // When the oldest send that has no answer yet was sent.
  common::TimePoint waiting_since() const { return this->oldest_unanswered; }
  double mean_latency_ms() const { return this->latency_ms; }

  // Weight version of the model; 0 when the endpoint does not have it.
  uint64_t VersionOf(std::string_view model) const;
  void SetVersion(std::string_view model, uint64_t version);

  // No new work until this time: its weights are being changed.
  common::TimePoint reserved_until;
  // No long runs until this time: its weights are changed next.
  common::TimePoint short_runs_until;
  // Set when the endpoint's entry is gone; sends that run there go on.
  bool removed = false;

 private:
  // A report says less the older it is, and nothing after this time.
  static constexpr common::Duration kReportLifetime =
      std::chrono::milliseconds(1500);

  struct PeerRun {
    common::TimePoint until;
    int64_t memory_tokens = 0;
    bool is_long = false;
  };

  double ReportWeight(common::TimePoint now) const;
  void ExpirePeerRuns(common::TimePoint now) const;

  catalog::Endpoint description;
  EndpointHealth passive_health;
  PartCache cache;
  int64_t in_flight = 0;
  int64_t started = 0;
  int64_t memory = 0;
  int64_t own_long_runs = 0;
  std::array<int64_t, kUrgencies> pending_tokens{};
  std::optional<LoadReport> report;
  common::TimePoint reported_at;
  int64_t own_at_report = 0;
  int64_t own_waiting_at_report = 0;
  common::TimePoint heard_at;
  // As of `peer_tokens_at`; the engine reads on since then.
  mutable double peer_tokens = 0;
  mutable common::TimePoint peer_tokens_at;
  mutable std::deque<PeerRun> peer_runs;
  mutable int64_t peer_memory = 0;
  mutable int64_t peer_long_runs = 0;
  common::TimePoint oldest_unanswered;
  double latency_ms = 0;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ENDPOINT_RECORD_H_
