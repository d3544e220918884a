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

#include "core/admission/fair_scheduler.h"
#include "core/common/result_code.h"
#include "core/common/time.h"

namespace jujuberock::admission {

// Identifies an admitted or queued request; never reused.
using Ticket = uint64_t;

struct AdmissionRequest {
  std::string team;
  std::string service;
  // See DeadlineOf().
  common::TimePoint deadline;
  // Relative amount of work, such as prompt plus expected output tokens.
  double cost = 1;
  // The router's predicted time to first token if the request started now.
  common::Duration predicted_first_token{0};
};

enum class DecisionState { kAdmitted, kQueued, kRefused };

struct Decision {
  DecisionState state = DecisionState::kRefused;
  // Zero if refused.
  Ticket ticket = 0;
  // Reason for a refusal: kDeadlineUnreachable, kQueueFull or kTeamLimit. The
  // request has not run.
  common::ResultCode code = common::ResultCode::kOk;
  // When the caller of a refused request may retry.
  common::Duration retry_after{0};
  // Queued requests admitted by this call, because a limit has grown since the
  // last tick. The caller must start them.
  std::vector<Ticket> also_admitted;
};

// Queued requests that a tick admitted or expired.
struct TickResult {
  // Admitted because a limit or the capacity has grown.
  std::vector<Ticket> admitted;
  // Refused without running: the deadline can no longer be met.
  std::vector<Ticket> expired;
};

// Returns the deadline of a request that arrived at `now`: after the configured
// patience, or after the caller's if that is shorter (zero: the caller set
// none).
common::TimePoint DeadlineOf(common::TimePoint now,
                             common::Duration configured_patience,
                             common::Duration caller_patience);

// Decides when the requests of one host start. Each service has its own queues;
// a FairScheduler divides its capacity by weight among the teams with queued
// requests. A team at its limit does not block other teams.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kAdmission.
class Controller {
 public:
  explicit Controller(
      FairSchedulerFactory make_scheduler = MakeStartTimeFairScheduler);

  // Sets how many requests of the service may run at once on this host and how
  // many may be queued. A service is unlimited until this is called.
  void SetService(std::string_view service,
                  uint32_t max_running,
                  uint32_t max_queue);
  // `weight` must be positive. `max_running` is this host's share of the team's
  // limit over all services, as returned by LimitShare.
  void SetTeam(std::string_view team, double weight, uint32_t max_running);

  Decision Submit(const AdmissionRequest& request, common::TimePoint now);

  // Ends an admitted request or withdraws a queued one. Returns the queued
  // requests admitted in its place. Unknown tickets are ignored.
  std::vector<Ticket> Finish(Ticket ticket, common::TimePoint now);

  // Must be called a few times per second, and after SetService or SetTeam.
  TickResult OnTick(common::TimePoint now);

  // Running and queued requests of a team, reported to the owner of its limit.
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
    std::unique_ptr<FairScheduler> scheduler;
    // By team; contains only teams with queued requests.
    std::map<std::string, std::deque<Waiting>, std::less<>> queues;
    // Removed from the queue because they could no longer meet the deadline;
    // reported by the next tick.
    std::vector<Ticket> expired;
    // Moving average of the time from start to end of a request.
    double mean_run_seconds = 0;
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
  // Removes requests that can no longer start in time from the front of each
  // queue.
  void ExpireLate(Service& service, common::TimePoint now);
  void CollectHeads(const Service& service);
  void RemoveWaiting(Service& service, const TicketState& state, Ticket ticket);

  FairSchedulerFactory make_scheduler;
  Ticket next_ticket = 1;
  std::map<std::string, Team, std::less<>> teams;
  std::map<std::string, Service, std::less<>> services;
  std::unordered_map<Ticket, TicketState> tickets;
  std::vector<QueueHead> heads;
};

}  // namespace jujuberock::admission

#endif  // CORE_ADMISSION_CONTROLLER_H_
