#ifndef CORE_GATEWAY_PLANNED_STOP_H_
#define CORE_GATEWAY_PLANNED_STOP_H_

#include <optional>
#include <set>
#include <string_view>

#include "core/common/time.h"
#include "core/dispatch/duration_record.h"

namespace jujuberock::gateway {

// A request in progress, as the end of a planned stop finds it.
class StoppableRequest {
 public:
  // Ends the request with a final answer, unless its answer has started.
  virtual void EndUnanswered() = 0;
  // Logs that the end of the process cuts the request off.
  virtual void LogCutOff() const = 0;

 protected:
  ~StoppableRequest() = default;
};

// A planned stop of the host and the requests that it has to end. Tells them
// until when they must be answered, and how long similar requests have taken.
// Accessed on worker 0 only.
class PlannedStop {
 public:
  // Time after which a refused caller may retry, at another host.
  static constexpr common::Duration kRetryAfter =
      std::chrono::milliseconds(100);

  // The host stops. What has no answer at `answer_deadline` is ended.
  void Begin(common::TimePoint answer_deadline) { this->end = answer_deadline; }
  // Nullopt while no stop is in progress.
  std::optional<common::TimePoint> answer_deadline() const { return this->end; }

  // How long requests have taken, as for DurationRecord.
  void OnAnswered(std::string_view route,
                  std::string_view service,
                  common::Duration duration,
                  common::TimePoint now);
  void OnUnfinished(std::string_view route,
                    std::string_view service,
                    common::Duration duration,
                    common::TimePoint now);
  // Longest recent duration of the route's requests at this host. If there were
  // none, that of the service, whose endpoints work for both.
  std::optional<common::Duration> LongestDuration(std::string_view route,
                                                  std::string_view service,
                                                  common::TimePoint now) const;
  // The same for what nearly all of them did not exceed.
  std::optional<common::Duration> UsualDuration(std::string_view route,
                                                std::string_view service,
                                                common::TimePoint now) const;

  // Requests in progress.
  void Add(StoppableRequest& request) { this->requests.insert(&request); }
  void Remove(StoppableRequest& request) { this->requests.erase(&request); }
  // Ends the requests whose answer has not started; their answers are sent by
  // their own fibers.
  void EndUnanswered();
  // Logs what the end of the process cuts off.
  void LogCutOff() const;

 private:
  std::set<StoppableRequest*> requests;
  std::optional<common::TimePoint> end;
  dispatch::DurationRecord routes;
  dispatch::DurationRecord services;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_PLANNED_STOP_H_
