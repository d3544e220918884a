#include "core/gateway/planned_stop.h"

namespace jujuberock::gateway {

using common::Duration;
using common::TimePoint;

void PlannedStop::OnAnswered(std::string_view route,
                             std::string_view service,
                             Duration duration,
                             TimePoint now) {
  this->routes.OnAnswered(route, duration, now);
  this->services.OnAnswered(service, duration, now);
}

void PlannedStop::OnUnfinished(std::string_view route,
                               std::string_view service,
                               Duration duration,
                               TimePoint now) {
  this->routes.OnUnfinished(route, duration, now);
  this->services.OnUnfinished(service, duration, now);
}

std::optional<Duration> PlannedStop::LongestDuration(std::string_view route,
                                                     std::string_view service,
                                                     TimePoint now) const {
  if (const auto longest = this->routes.Longest(route, now))
    return longest;
  return this->services.Longest(service, now);
}

std::optional<Duration> PlannedStop::UsualDuration(std::string_view route,
                                                   std::string_view service,
                                                   TimePoint now) const {
  if (const auto usual = this->routes.Usual(route, now))
    return usual;
  return this->services.Usual(service, now);
}

void PlannedStop::EndUnanswered() {
  for (StoppableRequest* request : this->requests)
    request->EndUnanswered();
}

void PlannedStop::LogCutOff() const {
  for (const StoppableRequest* request : this->requests)
    request->LogCutOff();
}

}  // namespace jujuberock::gateway
