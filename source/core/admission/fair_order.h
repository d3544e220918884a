#ifndef CORE_ADMISSION_FAIR_ORDER_H_
#define CORE_ADMISSION_FAIR_ORDER_H_

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
class FairOrder {
 public:
  virtual ~FairOrder() = default;

  // The team begins to wait.
  virtual void OnWaiting(std::string_view team) = 0;
  // Requests of mean cost that the team may start before others have their
  // share again; negative when the team is ahead of its share.
  virtual double CreditOf(std::string_view team, double weight) const = 0;
  // Picks one of at least one head and charges its cost to its team. `heads`
  // are in ascending order of team.
  virtual size_t Pick(std::span<const QueueHead> heads) = 0;
};

// Start-time fair queueing. Only served requests are charged, so that a team
// does not lose its share by requests that expire in the queue.
std::unique_ptr<FairOrder> MakeStartTimeFairOrder();

// Deficit round robin with a quantum of one mean cost.
std::unique_ptr<FairOrder> MakeDeficitRoundRobin();

using FairOrderFactory = std::function<std::unique_ptr<FairOrder>()>;

}  // namespace jujuberock::admission

#endif  // CORE_ADMISSION_FAIR_ORDER_H_
