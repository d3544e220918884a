#ifndef CORE_ADMISSION_CONTROLLER_H_
#define CORE_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/admission/fair_order.h"
#include "core/common/result_code.h"
#include "core/common/time.h"

namespace jujuberock::admission {

// Names an admitted or queued request; never reused.
using Ticket = uint64_t;

struct AdmissionRequest {
  std::string team;
  std::string service;
  // See DeadlineOf().
  common::TimePoint deadline;
  // Relative amount of work, such as prompt plus expected output tokens.
  double cost = 1;
  // The router's predicted time to first token if the request ran now.
  common::Duration predicted_first_token{0};
};

enum class DecisionState { kAdmitted, kQueued, kRefused };

struct Decision {
  DecisionState state = DecisionState::kRefused;
  // Zero when refused.
  Ticket ticket = 0;
  // Why it was refused: kDeadlineUnreachable, kQueueFull or kTeamLimit. The
  // request has not run.
  common::ResultCode code = common::ResultCode::kOk;
  // When a refused caller may try again.
  common::Duration retry_after{0};
  // Requests that waited and are admitted now, because a limit has grown since
  // the last tick. The caller must start them.
  std::vector<Ticket> admitted_before;
};

// What became of queued requests at a tick.
struct TickResult {
  // Admitted because a limit or capacity grew.
  std::vector<Ticket> admitted;
  // Refused as not run: the deadline can no longer be met.
  std::vector<Ticket> expired;
};

// The deadline of a request that arrived at `now`: the patience of the row in
// force, or the caller's if that is tighter (zero: the caller set none).
common::TimePoint DeadlineOf(common::TimePoint now,
                             common::Duration row_patience,
                             common::Duration caller_patience);

// Decides when requests of one host start. Queues are per service; among the
// teams that wait for a service, a FairOrder divides the capacity by weight. A
// team at its limit waits without holding up others.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kAdmission.
class Controller {
 public:
  explicit Controller(FairOrderFactory make_order = MakeStartTimeFairOrder);

  // Requests of the service that this host may have running at once, and the
  // number that may wait. A service is unlimited until this is called.
  void SetService(std::string_view service,
                  uint32_t max_running,
                  uint32_t max_queue);
  // `weight` must be positive. `max_running` is this host's share of the
  // team's limit over all services, as LimitShare states it.
  void SetTeam(std::string_view team, double weight, uint32_t max_running);

  Decision Submit(const AdmissionRequest& request, common::TimePoint now);

  // Ends an admitted request, or gives up a queued one. Returns the queued
  // requests admitted in its place. Unknown tickets are ignored.
  std::vector<Ticket> Finish(Ticket ticket, common::TimePoint now);

  // To be called a few times per second, and after SetService or SetTeam.
  TickResult OnTick(common::TimePoint now);

  // Running and queued requests of a team, for its limit's owner.
  uint32_t running(std::string_view team) const;
  uint32_t queued(std::string_view team) const;
  // Running requests of a service.
  uint32_t service_running(std::string_view service) const;

 private:
  struct Waiting {
    Ticket ticket = 0;
    // Latest start that still meets the deadline.
    common::TimePoint latest_start;
    double cost = 1;
  };
  struct Team {
    double weight = 1;
    uint32_t max_running = UINT32_MAX;
    uint32_t running = 0;
    uint32_t queued = 0;
  };
  struct Service {
    uint32_t max_running = UINT32_MAX;
    uint32_t max_queue = UINT32_MAX;
    uint32_t running = 0;
    uint32_t queued = 0;
    std::unique_ptr<FairOrder> order;
    // By team, only those that wait.
    std::map<std::string, std::deque<Waiting>, std::less<>> queues;
    // Passed over because they could no longer meet the deadline; reported by
    // the next tick.
    std::vector<Ticket> expired;
    // Smoothed time from start to end of a request.
    double hold_seconds = 0;
  };
  struct TicketState {
    std::string team;
    std::string service;
    std::optional<common::TimePoint> started;
  };

  Team& TeamOf(std::string_view name);
  Service& ServiceOf(std::string_view name);
  // Seconds until a new request of the team would start.
  double PredictedWait(const Service& service,
                       std::string_view team_name,
                       const Team& team) const;
  void AdmitWaiting(Service& service,
                    common::TimePoint now,
                    std::vector<Ticket>& admitted);
  // Moves requests from the front of each queue that can not start in time.
  void DropLate(Service& service, common::TimePoint now);
  void CollectHeads(const Service& service);
  void RemoveWaiting(Service& service, const TicketState& state, Ticket ticket);

  FairOrderFactory make_order;
  Ticket next_ticket = 1;
  std::map<std::string, Team, std::less<>> teams;
  std::map<std::string, Service, std::less<>> services;
  std::unordered_map<Ticket, TicketState> tickets;
  std::vector<QueueHead> heads;
};

}  // namespace jujuberock::admission

#endif  // CORE_ADMISSION_CONTROLLER_H_
