#ifndef CORE_SERVE_COMPLETION_RUN_H_
#define CORE_SERVE_COMPLETION_RUN_H_

#include <memory>
#include <string>

#include "core/caller/handler.h"
#include "core/endpoint/resuming_stream.h"
#include "core/serve/parts.h"
#include "core/serve/request_steps.h"
#include "core/serve/stream_relay.h"

namespace jujuberock::serve {

// One completion from its arrival to its end, as a sequence of steps.
class CompletionRun {
 public:
  CompletionRun(Parts& parts,
                const caller::CompletionCall& call,
                caller::CompletionWriter& writer);
  ~CompletionRun();
  CompletionRun(const CompletionRun&) = delete;
  CompletionRun& operator=(const CompletionRun&) = delete;

  // Throws common::Error when the request ends without a whole answer.
  void Execute();

  const std::string& service() const { return this->steps.service(); }
  // Whether the first token came before the deadline.
  bool in_time() const { return this->first_token_in_time; }

 private:
  CompletionRun(Parts& parts,
                const caller::CompletionCall& call,
                caller::CompletionWriter& writer,
                const std::string& service);

  void PrepareRoute();
  void RunWithRetry();
  void RunAttempt();
  RelayResult RunAt(const routing::RouteDecision& decision,
                    const runtime::Address& address);
  void OnFirstToken(const endpoint::TokenEvent& token);
  void OnAttemptFailed(const routing::RouteDecision& decision,
                       const runtime::Address& address,
                       const common::Error& error);
  endpoint::GenerateRequest EngineRequest(
      const routing::RouteDecision& decision) const;

  Parts& parts;
  const caller::CompletionCall& call;
  caller::CompletionWriter& writer;
  std::shared_ptr<CallerState> caller;
  RequestSteps steps;
  routing::RouteRequest route;
  // Host that keeps the index entry of the request's conversation.
  std::string owner;
  // False until something was sent to an endpoint.
  bool dispatched = false;
  // The engine was told to end its work because the caller went away.
  bool engine_told = false;
  bool first_token_in_time = false;
  common::TimePoint dispatched_at;
};

// Goes on with a stream that the caller received in part.
void ResumeRun(Parts& parts,
               const caller::ResumeCall& call,
               caller::CompletionWriter& writer);

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_COMPLETION_RUN_H_
