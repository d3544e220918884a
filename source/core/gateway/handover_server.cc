#include "core/gateway/handover_server.h"

#include <utility>

#include "core/gateway/refused_error.h"

namespace jujuberock::gateway {

namespace {

using common::Error;
using common::ResultCode;

// Other refusals say that the endpoints can't serve the request, which is the
// same for all hosts.
handover::Refusal RefusalOf(ResultCode code) {
  const bool is_of_host =
      code == ResultCode::kNotReady || code == ResultCode::kStopping ||
      code == ResultCode::kPeerUnavailable || code == ResultCode::kQueueFull;
  return is_of_host ? handover::Refusal::kHost : handover::Refusal::kService;
}

}  // namespace

HandoverServer::HandoverServer(RequestDependencies& requests,
                               runtime::WorkerPool& pool,
                               const runtime::Address& address,
                               runtime::HttpServerOptions options,
                               std::function<void()> check_accepting,
                               runtime::ErrorRenderer render_error,
                               common::MetricRegistry& counters)
    : requests(requests),
      codec(requests.codec),
      check_accepting(std::move(check_accepting)),
      render_error(std::move(render_error)),
      served(counters.GetCounter("requests_taken_over_total",
                                 {{"result", "served"}})),
      refused(counters.GetCounter("requests_taken_over_total",
                                  {{"result", "refused"}})),
      malformed(counters.GetCounter("requests_taken_over_total",
                                    {{"result", "malformed"}})),
      http(std::make_unique<runtime::HttpServer>(
          pool,
          address,
          std::move(options),
          [this](auto& request, auto& writer) { this->Serve(request, writer); },
          this->render_error)) {}

void HandoverServer::Serve(runtime::HttpRequest& request,
                           runtime::ResponseWriter& writer) {
  auto handed_over = this->codec.DecodeHandedOver(request);
  if (!handed_over) {
    this->malformed.Add();
    throw Error(ResultCode::kMalformedRequest,
                "the request does not come from a host");
  }
  handed_over->request.body = std::move(request.body);
  handover::ReplyWriter reply(writer, handed_over->send_id);
  this->ServeHandedOver(std::move(*handed_over), reply);
}

void HandoverServer::ServeHandedOver(handover::HandedOver handed_over,
                                     handover::ReplyWriter& writer) {
  try {
    this->check_accepting();
    const RequestOrigin origin{&writer, handed_over.config_version,
                               handed_over.max_attempts};
    RequestTask task(this->requests, std::move(handed_over.request), writer,
                     origin);
    task.Run();
    this->served.Add();
  } catch (const RefusedError& error) {
    this->refused.Add();
    runtime::HttpResponse response = this->render_error(error);
    // A refusal guarantees that the request has not run. The error's own status
    // need not convey that.
    response.status = 503;
    if (error.retry_after())
      this->codec.AddRetryAfter(response.headers, *error.retry_after());
    writer.SetRefusal(RefusalOf(error.code()));
    writer.Send(std::move(response));
  } catch (const Error& error) {
    // The connection is closed, as that of a caller.
    if (writer.started() || error.code() == ResultCode::kCanceled)
      throw;
    writer.Send(this->render_error(error));
  }
}

}  // namespace jujuberock::gateway
