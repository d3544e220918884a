#ifndef CORE_CALLER_HANDLER_H_
#define CORE_CALLER_HANDLER_H_

#include <functional>
#include <string>
#include <string_view>

#include "core/caller/completion_request.h"
#include "core/caller/event_id.h"
#include "core/runtime/http_types.h"

namespace jujuberock::caller {

struct Usage {
  uint64_t prompt_tokens = 0;
  uint64_t completion_tokens = 0;
  uint64_t cached_tokens = 0;
};

// Takes the answer to one completion and brings it to the caller, streamed or
// as a whole. Throws common::Error kCanceled when the caller is gone.
class CompletionWriter {
 public:
  virtual ~CompletionWriter() = default;

  // `position` names the token's successor, so that a caller that returns
  // with this event's id goes on after it.
  virtual void WriteToken(const StreamPosition& position,
                          std::string_view text) = 0;
  virtual void Finish(std::string_view reason, const Usage& usage) = 0;
  // Drops tokens that have not reached the caller, before another attempt.
  virtual void Reset() = 0;
  // True once something that can not be taken back has reached the caller.
  virtual bool started() const = 0;
  virtual void OnCallerGone(std::function<void()> callback) = 0;
};

struct CompletionCall {
  std::string team;
  CallHeaders headers;
  CompletionRequest request;
};

struct ResumeCall {
  std::string team;
  StreamPosition position;
};

struct ServiceCall {
  std::string team;
  CallHeaders headers;
  std::string service;
  // Path and query after the service's name; the headers are cleaned.
  runtime::HttpRequest request;
};

// What the callers' interface hands requests to. Every method may suspend and
// throws common::Error for a refusal or failure.
class Handler {
 public:
  virtual ~Handler() = default;

  virtual void Complete(const CompletionCall& call,
                        CompletionWriter& writer) = 0;
  virtual void Resume(const ResumeCall& call, CompletionWriter& writer) = 0;
  virtual runtime::HttpResponse CallService(const ServiceCall& call) = 0;
};

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_HANDLER_H_
