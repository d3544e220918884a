#ifndef CORE_SERVE_REQUEST_STEPS_H_
#define CORE_SERVE_REQUEST_STEPS_H_

#include <optional>
#include <string>
#include <vector>

#include "core/caller/completion_request.h"
#include "core/common/error.h"
#include "core/serve/parts.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::serve {

// The steps that completions and plain calls share. Each method is one step
// and throws common::Error when the request ends there.
class RequestSteps {
 public:
  RequestSteps(Parts& parts,
               std::string team,
               std::string service,
               suspects::Fingerprint fingerprint);

  // The deadline of the row in force, or the caller's if it is tighter.
  void SetDeadline(const caller::CallHeaders& headers);
  // Waits for a place; `route` supplies the prediction and the cost.
  void Admit(const routing::RouteRequest& route);
  // Refuses a request that crashed two endpoints; one that crashed one is to
  // run alone. Returns whether it must be isolated.
  bool CheckSuspect();
  // Chooses an endpoint. Waits, at most until the deadline, while one may
  // become free.
  routing::RouteDecision Route(routing::RouteRequest& route);
  // The endpoint did not do the work; it is not chosen again.
  void ExcludeEndpoint(routing::RouteRequest& route,
                       const std::string& endpoint);
  // The endpoint died with the request in flight.
  void OnCrash(const std::string& endpoint);
  // A call of a plain service failed: finds out on a new connection whether
  // the service died or only that connection.
  void OnPlainFailure(const std::string& endpoint,
                      const runtime::Address& address,
                      const runtime::HttpError& error);
  // Whether the request may be sent once more after this failure. Throws
  // kRetryBudgetExhausted when only the budget stands against it.
  bool TakeRetry(const common::Error& error);
  void Succeed();

  common::TimePoint deadline() const { return this->until; }
  const table::Snapshot& rows() const { return *this->snapshot; }
  const std::string& team() const { return this->team_name; }
  const std::string& service() const { return this->service_name; }
  suspects::Fingerprint fingerprint() const { return this->content; }
  common::TimePoint start() const { return this->arrived; }

 private:
  bool MayBecomeFree(const routing::RouteRequest& route) const;

  Parts& parts;
  std::string team_name;
  std::string service_name;
  suspects::Fingerprint content;
  table::SnapshotPtr snapshot;
  common::TimePoint arrived;
  common::TimePoint until;
  Admission admission;
  // The choice made for admission; used when the request starts at once.
  std::optional<routing::RouteDecision> early_choice;
};

// One attempt at one endpoint; ends it for the router when it is destroyed.
class Attempt {
 public:
  Attempt(Parts& parts,
          const RequestSteps& steps,
          const routing::RouteRequest& route,
          const routing::RouteDecision& decision);
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  void Succeed() { this->succeeded = true; }

 private:
  Parts& parts;
  std::string endpoint;
  routing::RequestId id;
  bool succeeded = false;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_REQUEST_STEPS_H_
