#ifndef CORE_SERVE_REQUEST_HANDLER_H_
#define CORE_SERVE_REQUEST_HANDLER_H_

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/caller/handler.h"
#include "core/serve/parts.h"

namespace jujuberock::serve {

// Takes requests from the callers' interface into the request path and counts
// how they end.
class RequestHandler : public caller::Handler {
 public:
  explicit RequestHandler(Parts& parts);

  void Complete(const caller::CompletionCall& call,
                caller::CompletionWriter& writer) override;
  void Resume(const caller::ResumeCall& call,
              caller::CompletionWriter& writer) override;
  runtime::HttpResponse CallService(const caller::ServiceCall& call) override;

  // From now on requests are refused as not run.
  void StartStopping() { this->stopping = true; }
  bool is_stopping() const { return this->stopping; }
  // Set once the host has a configuration.
  void SetReady() { this->ready = true; }
  bool is_ready() const { return this->ready; }

 private:
  // How requests of one kind end, looked up once.
  struct Counts {
    Counts(common::CounterRegistry& counters, const char* kind);

    common::Gauge& in_progress;
    common::Counter& ok;
    std::map<common::ResultCode, common::Counter*> by_code;
  };

  void RequireRunning() const;
  template <typename Run>
  auto Counted(Counts& counts, Run run);
  // Executes the run and records how it ends under the team's hour band.
  template <typename Run>
  auto ExecuteAndRecord(const std::string& team,
                        const std::string& service,
                        Run& run);

  Parts& parts;
  Counts completions;
  Counts resumes;
  Counts services;
  std::atomic<bool> stopping{false};
  std::atomic<bool> ready{false};
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_REQUEST_HANDLER_H_
