#ifndef CORE_DISPATCH_ENDPOINT_RECORD_H_
#define CORE_DISPATCH_ENDPOINT_RECORD_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/catalog/types.h"
#include "core/common/time.h"
#include "core/dispatch/brittle_limit.h"
#include "core/dispatch/cold_limit.h"
#include "core/dispatch/endpoint_health.h"
#include "core/dispatch/engine_room.h"
#include "core/dispatch/part_cache.h"
#include "core/dispatch/peer_prompt.h"
#include "core/dispatch/process_continuity.h"
#include "core/dispatch/work_rate.h"

namespace jujuberock::dispatch {

// Load that an endpoint reported along with an answer.
struct LoadReport {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;
  // How long work takes at this moment; 1 is the usual time. Not all endpoints
  // report it.
  std::optional<double> work_factor = std::nullopt;
};

class EndpointRecord;

// Accounting of one send to an endpoint, from the send until it ends.
struct SendTicket {
  std::shared_ptr<EndpointRecord> endpoint;
  int urgency = 0;
  // Prompt tokens that the engine must prefill; 0 for plain services.
  int64_t uncached_tokens = 0;
  // The same plus the tokens that the engine was expected to prefill before:
  // those of the choice, and at least those of this host's sends that were
  // already waiting there with the same or a higher urgency.
  int64_t tokens_ahead = 0;
  int64_t memory_tokens = 0;
  int64_t max_output_tokens = 0;
  // Expected time to the first token if work takes its usual time.
  common::Duration usual_time{0};
  // Whether the run is expected to stream many events.
  bool is_long = false;
  common::TimePoint sent_at;
  common::TimePoint started_at;
  bool started = false;
  bool ended = false;
};

// Load of one endpoint as this host sees it. A restarted endpoint gets a new
// record. The traffic of other hosts is estimated from the load that the
// endpoint reports and from what those hosts announce. Not thread-safe.
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
  ProcessContinuity& process() { return this->continuity; }
  const ProcessContinuity& process() const { return this->continuity; }
  ColdLimit& cold() { return this->cold_limit; }
  const ColdLimit& cold() const { return this->cold_limit; }
  BrittleLimit& brittle() { return this->brittle_limit; }
  const BrittleLimit& brittle() const { return this->brittle_limit; }
  PartCache& part_cache() { return this->cache; }
  const PartCache& part_cache() const { return this->cache; }
  WorkRate& work_rate() { return this->rate; }
  const WorkRate& work_rate() const { return this->rate; }

  void OnSent(SendTicket& ticket, common::TimePoint now);
  // The first byte of the answer arrived.
  void OnStarted(SendTicket& ticket, common::TimePoint now);
  void OnEnded(SendTicket& ticket, common::TimePoint now);
  void OnLoadReport(const LoadReport& report, common::TimePoint now);
  // Whether the report would change choices of a host that knows only what this
  // record says: work takes another time, or another number of requests waits.
  // False for endpoints that do not report how long work takes.
  bool IsNews(const LoadReport& load, common::TimePoint now) const;
  // Some bytes arrived from the endpoint.
  void OnBytesReceived(common::TimePoint now) { this->last_byte_at = now; }
  // The endpoint has refused a request, or accepted one.
  void OnRefused(common::TimePoint now) { this->refused_at = now; }
  void OnAccepted() { this->refused_at.reset(); }
  // Whether the last request was refused, and that a short time ago.
  bool HasJustRefused(common::TimePoint now) const;
  // Records the latency of an answered request.
  void OnLatency(common::Duration latency);

  int64_t own_in_flight() const { return this->in_flight; }
  int64_t own_waiting() const { return this->in_flight - this->started; }
  const EngineRoom& room() const { return this->engine_room; }
  // Requests of other hosts on the endpoint, estimated from its load reports:
  // running and waiting ones, and waiting ones only.
  double OthersInFlight(common::TimePoint now) const;
  double OthersWaiting(common::TimePoint now) const;
  // Another host announced a prompt that it sent to the engine.
  void OnPeerPrompt(const PeerPrompt& prompt, common::TimePoint now) {
    this->engine_room.AddPeer(prompt, now);
  }
  // Runs that other hosts have announced and that should still be going on.
  int64_t PeerRuns(common::TimePoint now) const {
    return this->engine_room.PeerRuns(now);
  }
  // Requests of other hosts that the engine reports and that no host has
  // announced, because the announcement was lost or this host has just started.
  double UnannouncedRuns(common::TimePoint now) const;
  // Runs of all hosts that stream many events.
  int64_t LongRuns(common::TimePoint now) const;
  common::TimePoint last_byte_time() const { return this->last_byte_at; }
  // Start of the current wait for a first byte: the time of the first
  // unanswered send, or of the last send that got its first byte or ended
  // without one, if that is later.
  common::TimePoint waiting_since() const { return this->unanswered_since; }
  double mean_latency_ms() const { return this->latency_ms; }

  // Weight version of the model; 0 when the endpoint does not have it.
  uint64_t VersionOf(std::string_view model) const;
  void SetVersion(std::string_view model, uint64_t version);

  // Keeps new requests away until `until`, or until the endpoint has this
  // version of the model, because its weights are being replaced.
  void Reserve(std::string_view model,
               uint64_t version,
               common::TimePoint until);
  void ReleaseReservation() { this->reservation.reset(); }
  bool IsReserved(common::TimePoint now) const;

  // The endpoint says that it is leaving; its registration may follow later.
  void MarkLeaving() { this->description.leaving = true; }

  // The endpoint takes no new requests before this time, because it is full or
  // not the one that was expected.
  common::TimePoint paused_until;
  // The endpoint has asked this host to send nothing before this time.
  common::TimePoint backoff_until;
  // Whether the endpoint was cold when that was last logged.
  bool was_cold = false;
  // Set when the endpoint is no longer registered. Sends in flight go on.
  bool removed = false;

 private:
  // The weight of a load report falls linearly to zero over this time.
  static constexpr common::Duration kMaxReportAge =
      std::chrono::milliseconds(1500);

  // A difference of waiting requests below this is no news.
  static constexpr double kWaitingNews = 1;

  // An endpoint that refused a request is expected to refuse others for this
  // long.
  static constexpr common::Duration kRefusalLifetime = std::chrono::seconds(1);

  struct Reservation {
    std::string model;
    uint64_t version = 0;
    common::TimePoint until;
  };

  double ReportWeight(common::TimePoint now) const;

  catalog::Endpoint description;
  EndpointHealth passive_health;
  ProcessContinuity continuity;
  ColdLimit cold_limit;
  BrittleLimit brittle_limit;
  PartCache cache;
  WorkRate rate;
  int64_t in_flight = 0;
  int64_t started = 0;
  int64_t own_long_runs = 0;
  EngineRoom engine_room;
  std::optional<LoadReport> report;
  common::TimePoint reported_at;
  int64_t own_in_flight_at_report = 0;
  int64_t own_waiting_at_report = 0;
  common::TimePoint last_byte_at;
  // Unset once a request was accepted.
  std::optional<common::TimePoint> refused_at;
  common::TimePoint unanswered_since;
  double latency_ms = 0;
  std::optional<Reservation> reservation;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ENDPOINT_RECORD_H_
