#ifndef CORE_SERVE_REQUEST_STEPS_H_
#define CORE_SERVE_REQUEST_STEPS_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/caller/completion_request.h"
#include "core/common/error.h"
#include "core/serve/dependencies.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::serve {

// The processing steps that completions and plain service calls share. Each
// method performs one step and throws common::Error if the request ends there.
class RequestSteps {
 public:
  RequestSteps(Dependencies& deps,
               std::string team,
               std::string service,
               suspects::Fingerprint fingerprint);

  // Sets the deadline from the table row in force, or from the caller's headers
  // if that is earlier.
  void SetDeadline(const caller::CallHeaders& headers);
  // Waits for admission. `route` is used to predict the first token and to
  // compute the cost.
  void Admit(const routing::RouteRequest& route);
  // Refuses a request that crashed two endpoints or has a part that crashes
  // endpoints. Returns whether the request must run isolated because it crashed
  // one or tests whether its part does.
  bool CheckSuspect();
  // Sets the parts of the request's prompt. Without them, it has none.
  void SetPromptParts(std::vector<suspects::Fingerprint> parts) {
    this->parts = std::move(parts);
  }
  // Refuses a request with a part that crashes endpoints. CheckSuspect() and
  // Route() do this too, so that each send is checked.
  void CheckPromptParts();
  // The request may be sent again, which is no part of a trial.
  void EndPartTrial() { this->is_part_trial = false; }
  // Chooses an endpoint. If none can take the request now, waits at most until
  // the deadline for one that may become free.
  routing::RouteDecision Route(routing::RouteRequest& route);
  // Excludes an endpoint that did not do the work from further attempts.
  void ExcludeEndpoint(routing::RouteRequest& route,
                       const std::string& endpoint);
  // Marks the requests that were in flight at an endpoint that crashed.
  void OnCrash(const std::string& endpoint);
  // Handles a failed call of a plain service: probes it on a new connection to
  // tell whether the service crashed or only the connection broke.
  void OnPlainFailure(const std::string& endpoint,
                      const runtime::Address& address,
                      const runtime::HttpError& error);
  // Takes a retry from the budget of the service. Returns false if it is used
  // up.
  bool TakeRetry();
  // Returns whether the request may be retried after this failure; if so, takes
  // the retry from the budget. Throws kRetryBudgetExhausted when the failure is
  // retryable but the budget is used up.
  bool TryConsumeRetry(const common::Error& error);
  void ReportSuccess();
  // Reports that the run whose first token came at this time was answered
  // completely.
  void ReportSoundRun(common::TimePoint first_token_at);

  common::TimePoint deadline() const { return this->effective_deadline; }
  const table::Snapshot& rows() const { return *this->snapshot; }
  const std::string& team() const { return this->team_name; }
  const std::string& service() const { return this->service_name; }
  suspects::Fingerprint fingerprint() const {
    return this->request_fingerprint;
  }
  const std::vector<suspects::Fingerprint>& prompt_parts() const {
    return this->parts;
  }
  common::TimePoint start() const { return this->arrived; }

 private:
  routing::RouteDecision WaitForEndpoint(const routing::RouteRequest& route);
  bool EndpointMayBecomeFree(const routing::RouteRequest& route) const;

  Dependencies& deps;
  std::string team_name;
  std::string service_name;
  suspects::Fingerprint request_fingerprint;
  std::vector<suspects::Fingerprint> parts;
  // Whether the request tests a verdict on one of its parts.
  bool is_part_trial = false;
  table::SnapshotPtr snapshot;
  common::TimePoint arrived;
  common::TimePoint effective_deadline;
  Admission admission;
  // Decision made for admission; used if the request is admitted at once.
  std::optional<routing::RouteDecision> early_decision;
};

// Returns the failure of a request whose retry has failed with `error`: if the
// first attempt may have run, so may the request.
common::Error AfterRetry(const common::Error& error,
                         common::Outcome first_outcome);

// One attempt at one endpoint. Reports its start to the router when it is
// created and its end when it is destroyed.
class Attempt {
 public:
  Attempt(Dependencies& deps,
          const RequestSteps& steps,
          const routing::RouteRequest& route,
          const routing::RouteDecision& decision);
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  void MarkSucceeded() { this->succeeded = true; }

 private:
  Dependencies& deps;
  std::string endpoint;
  routing::RequestId id;
  bool succeeded = false;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_REQUEST_STEPS_H_
