#ifndef CORE_SERVE_COMPLETION_RUN_H_
#define CORE_SERVE_COMPLETION_RUN_H_

#include <memory>
#include <optional>
#include <string>

#include "core/caller/handler.h"
#include "core/endpoint/resuming_stream.h"
#include "core/serve/dependencies.h"
#include "core/serve/request_steps.h"
#include "core/serve/stream_relay.h"

namespace jujuberock::serve {

// Runs one completion request from its arrival to the end of its answer.
class CompletionRun {
 public:
  CompletionRun(Dependencies& deps,
                const caller::CompletionCall& call,
                caller::CompletionWriter& writer);
  ~CompletionRun();
  CompletionRun(const CompletionRun&) = delete;
  CompletionRun& operator=(const CompletionRun&) = delete;

  // Throws common::Error when the request ends without a complete answer.
  void Execute();

  const std::string& service() const { return this->steps.service(); }
  // Whether the first token came before the deadline.
  bool in_time() const { return this->first_token_in_time; }

 private:
  CompletionRun(Dependencies& deps,
                const caller::CompletionCall& call,
                caller::CompletionWriter& writer,
                const std::string& service);

  void PrepareRoute();
  void RunWithRetry();
  void RunAttempt();
  // Whether the request goes on at another engine because this one is silent.
  // If so, takes the retry.
  bool ReserveRetry(const routing::RouteDecision& decision);
  RelayResult RunOnEngine(const routing::RouteDecision& decision,
                          const runtime::Address& address);
  void OnFirstToken(const endpoint::TokenEvent& token);
  void OnAttemptFailed(const routing::RouteDecision& decision,
                       const runtime::Address& address,
                       const common::Error& error);
  endpoint::GenerateRequest MakeEngineRequest(
      const routing::RouteDecision& decision) const;

  Dependencies& deps;
  const caller::CompletionCall& call;
  caller::CompletionWriter& writer;
  std::shared_ptr<CallerState> caller;
  RequestSteps steps;
  routing::RouteRequest route;
  // Host that owns the index entries of the request's conversation.
  std::string conversation_owner;
  // Whether the request was dispatched to an endpoint at least once.
  bool dispatched = false;
  // Whether the retry has been taken from the budget, and whether it has begun.
  bool holds_retry = false;
  bool is_retry = false;
  // Whether a cancel was sent to the engine because the caller disconnected.
  bool engine_cancel_sent = false;
  bool first_token_in_time = false;
  common::TimePoint dispatched_at;
  // Time of the first token of the last attempt.
  std::optional<common::TimePoint> first_token_at;
};

// Continues a stream that the caller has received in part.
void ResumeStream(Dependencies& deps,
                  const caller::ResumeCall& call,
                  caller::CompletionWriter& writer);

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_COMPLETION_RUN_H_
