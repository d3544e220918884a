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

// Sends the response to one completion to the caller, as a stream or as a
// single document. Methods throw common::Error kCanceled if the caller has
// disconnected.
class CompletionWriter {
 public:
  virtual ~CompletionWriter() = default;

  // `position` points to the next token, so that a caller that reconnects with
  // the id of this event resumes after it.
  virtual void WriteToken(const StreamPosition& position,
                          std::string_view text) = 0;
  virtual void Finish(std::string_view reason, const Usage& usage) = 0;
  // Discards tokens that have not been sent to the caller, before a retry.
  virtual void Reset() = 0;
  // True once part of the response has been sent and cannot be withdrawn.
  virtual bool started() const = 0;
  // Registers a callback for the caller's disconnect.
  virtual void OnCallerDisconnect(std::function<void()> callback) = 0;
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
  // The target is the path and query after the service's name. Hop-by-hop
  // headers and headers reserved to the system have been removed.
  runtime::HttpRequest request;
};

// Processes the requests that the server has parsed and authenticated. Every
// method may suspend the calling fiber and throws common::Error if the request
// is rejected or fails.
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
