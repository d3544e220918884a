// The software version of the endpoints that write a stream: what two versions
// write does not fit together.
#include "core/gateway/request_task.h"

#include <algorithm>

#include "core/runtime/boot_clock.h"

namespace jujuberock::gateway {

using common::ResultCode;
using common::TimePoint;

bool RequestTask::IsResumable() const {
  return this->route->kind == catalog::RouteKind::kStream &&
         this->route->can_resume;
}

const std::string& RequestTask::FirstAttempt() const {
  const bool takes_up = this->request.last_event_id.has_value() &&
                        !this->request.first_attempt.empty();
  return takes_up ? this->request.first_attempt : this->request.attempt_id;
}

void RequestTask::FindOrigin() {
  if (!this->IsResumable() || !this->request.last_event_id)
    return;
  const auto origin = this->deps.stream_registry.FindOrigin(
      this->request.first_attempt, this->service);
  if (!origin)
    this->Refuse(ResultCode::kStreamGone,
                 "it is not known which software version began the stream",
                 std::nullopt);
  const auto& services = this->route->services;
  const bool is_allowed = std::any_of(
      services.begin(), services.end(),
      [&](const auto& part) { return part.service == origin->service; });
  this->stream_software = origin->software;
  dispatch::ServicePool* const origin_pool =
      is_allowed ? this->deps.dispatcher.FindPool(origin->service) : nullptr;
  if (!origin_pool || !origin_pool->HasSoftware(origin->software))
    this->Refuse(ResultCode::kStreamGone,
                 "no endpoint has the software version of the stream",
                 std::nullopt);
  this->service = origin->service;
  this->pool = origin_pool;
}

std::optional<std::string> RequestTask::RequiredSoftware() const {
  if (!this->IsResumable())
    return std::nullopt;
  if (this->stream_software)
    return this->stream_software;
  if (auto required =
          this->deps.stream_registry.RequiredSoftware(this->service))
    return required;
  // Other hosts may have been told of the version of the former send.
  const bool keeps_version =
      this->sent_software &&
      this->deps.stream_registry.RecordsStreams(this->service) &&
      this->pool->HasCertainSoftware(*this->sent_software, this->tried);
  return keeps_version ? this->sent_software : std::nullopt;
}

void RequestTask::BindSoftware(const dispatch::EndpointChoice& choice) {
  if (!this->IsResumable())
    return;
  const std::string& software = choice.endpoint->endpoint().software;
  this->was_rebound |= this->sent_software && *this->sent_software != software;
  this->sent_software = software;
  const TimePoint gives_up_at =
      this->received_at +
      this->request.remaining.value_or(this->route->timeout);
  this->deps.stream_registry.Bind(this->FirstAttempt(),
                                  {this->service, software},
                                  std::max(this->deadline, gives_up_at));
}

void RequestTask::CheckProcess(const dispatch::EndpointRecord& endpoint) const {
  if (this->IsResumable() &&
      endpoint.process().generation() != this->sent_process)
    throw forward::SendError(forward::SendFailure::kCanceled,
                             "the endpoint's process may have been replaced");
}

void RequestTask::FixSoftware() {
  if (!this->IsResumable() || this->stream_software)
    return;
  if (this->was_rebound &&
      this->deps.stream_registry.RecordsStreams(this->service))
    this->deps.stream_registry.AwaitRecorded(this->FirstAttempt());
  this->stream_software = this->sent_software;
}

}  // namespace jujuberock::gateway
