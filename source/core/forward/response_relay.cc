#include "core/forward/response_relay.h"

#include <algorithm>
#include <locale>
#include <utility>

#include <boost/algorithm/string/case_conv.hpp>

#include "core/runtime/boot_clock.h"

namespace jujuberock::forward {

namespace {

constexpr int kStatusOk = 200;
constexpr std::string_view kEventStream = "text/event-stream";

// Returns the media type in lower case, without parameters; empty if there is
// none.
std::string MediaTypeOf(const ResponseHead& head) {
  std::string_view type =
      head.forwarded_headers.Find("Content-Type").value_or("");
  type = type.substr(0, type.find(';'));
  while (!type.empty() && (type.back() == ' ' || type.back() == '\t'))
    type.remove_suffix(1);
  return boost::algorithm::to_lower_copy(std::string(type),
                                         std::locale::classic());
}

}  // namespace

void ResponseRelay::Start(const ResponseHead& head) {
  if (this->has_started)
    return;
  this->has_started = true;
  this->media_type = MediaTypeOf(head);
  this->writer.StartStream(head.status, head.forwarded_headers);
}

void ResponseRelay::CheckContinues(const ResponseHead& head) const {
  const std::string type = MediaTypeOf(head);
  const bool has_type = type == kEventStream || type == this->media_type;
  const bool continues = head.status == kStatusOk && has_type &&
                         !head.forwarded_headers.Find("Content-Range") &&
                         !head.forwarded_headers.Find("Content-Encoding");
  if (!continues)
    throw SendError(SendFailure::kMalformed,
                    "the response does not continue the stream");
}

void ResponseRelay::RelayWhole(EndpointSend& send,
                               const ResponseHead& head,
                               const ProgressCallback& on_progress,
                               const RunningCheck& is_running) {
  runtime::HttpResponse response;
  response.status = head.status;
  response.headers = head.forwarded_headers;
  while (auto bytes = send.Read()) {
    response.body += *bytes;
    if (this->MayCollect(response.body.size()))
      continue;
    on_progress();
    this->Start(head);
    this->Write(response.body);
    this->PassOn(send, is_running);
    return;
  }
  on_progress();
  CheckRunning(send, is_running);
  this->has_started = true;
  this->writer.Send(std::move(response));
}

bool ResponseRelay::MayCollect(size_t bytes) {
  if (bytes > kMaxCollectedBytes)
    return false;
  if (bytes <= this->granted_bytes)
    return true;
  if (!this->writer.MayHold(kMaxCollectedBytes))
    return false;
  this->granted_bytes = kMaxCollectedBytes;
  return true;
}

void ResponseRelay::Write(std::string_view bytes) {
  this->is_writing = true;
  this->writer.Write(bytes);
  this->is_writing = false;
}

void ResponseRelay::PassOn(EndpointSend& send, const RunningCheck& is_running) {
  while (auto bytes = send.Read())
    this->Write(*bytes);
  CheckRunning(send, is_running);
  this->writer.FinishStream();
}

void ResponseRelay::RelayStream(EndpointSend& send,
                                const ResponseHead& head,
                                common::Duration stall_limit,
                                const ProgressCallback& on_progress,
                                const RunningCheck& is_running) {
  if (this->has_started)
    this->CheckContinues(head);
  this->splitter.BeginResponse();
  send.ExpectProgressWithin(stall_limit);
  while (auto bytes = send.Read()) {
    const std::string events = this->splitter.Push(*bytes);
    if (this->splitter.pending_bytes() > kMaxEventBytes)
      throw SendError(SendFailure::kMalformed, "an event is too long");
    if (events.empty())
      continue;
    if (this->splitter.has_progressed()) {
      on_progress();
      this->RecordEvent();
    }
    // The answer starts with the first event, so that another endpoint can
    // begin it if this one sends none.
    this->Start(head);
    this->Write(events);
    if (this->splitter.has_progressed()) {
      // Time in which the caller does not read is no stall of the endpoint.
      this->event_taken_at = runtime::BootNow();
      send.ExpectProgressWithin(stall_limit);
    }
  }
  this->CheckComplete(send, is_running);
  this->FinishEvents(head);
}

void ResponseRelay::CheckComplete(const EndpointSend& send,
                                  const RunningCheck& is_running) const {
  // The framing does not show that the stream is complete: an endpoint may stop
  // in the middle of an event and still end its response.
  if (this->splitter.IsInsideEvent())
    throw SendError(SendFailure::kBroken,
                    "the stream ended in the middle of an event");
  // An endpoint that has failed before the first event ends its connection too.
  if (send.ends_with_connection() && !this->splitter.has_received_event())
    throw SendError(SendFailure::kBroken,
                    "the connection ended before the first event");
  CheckRunning(send, is_running);
}

void ResponseRelay::CheckRunning(const EndpointSend& send,
                                 const RunningCheck& is_running) {
  if (send.ends_with_connection() && !is_running())
    throw SendError(SendFailure::kBroken, "the endpoint ended its process");
}

void ResponseRelay::FinishEvents(const ResponseHead& head) {
  const std::string rest = this->splitter.TakePartial();
  this->Start(head);
  if (!rest.empty())
    this->Write(rest);
  this->writer.FinishStream();
}

void ResponseRelay::RecordEvent() {
  const common::TimePoint now = runtime::BootNow();
  if (this->stats.last_event_at != common::TimePoint())
    this->stats.longest_pause =
        std::max(this->stats.longest_pause, now - this->stats.last_event_at);
  this->stats.last_event_at = now;
  ++this->stats.events;
}

}  // namespace jujuberock::forward
