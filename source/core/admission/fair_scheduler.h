#ifndef CORE_ADMISSION_FAIR_SCHEDULER_H_
#define CORE_ADMISSION_FAIR_SCHEDULER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace jujuberock::admission {

// The oldest waiting request of a team.
struct QueueHead {
  std::string_view team;
  double weight = 1;
  double cost = 1;
};

// Divides capacity among teams that wait, in proportion to their weights.
class FairScheduler {
 public:
  virtual ~FairScheduler() = default;

  // Called when the team's queue becomes non-empty.
  virtual void OnWaiting(std::string_view team) = 0;
  // Number of requests of mean cost that the team may start before the others
  // have caught up with their shares; negative if the team is ahead of its
  // share.
  virtual double CreditOf(std::string_view team, double weight) const = 0;
  // Selects one of a non-empty list of heads, sorted by team, and charges its
  // cost to its team.
  virtual size_t Pick(std::span<const QueueHead> heads) = 0;
};

// Start-time fair queueing. Only served requests are charged, so that a team
// does not lose its share by requests that expire in the queue.
std::unique_ptr<FairScheduler> MakeStartTimeFairScheduler();

// Deficit round robin with a quantum of one mean cost.
std::unique_ptr<FairScheduler> MakeDeficitRoundRobin();

using FairSchedulerFactory = std::function<std::unique_ptr<FairScheduler>()>;

}  // namespace jujuberock::admission

#endif  // CORE_ADMISSION_FAIR_SCHEDULER_H_
