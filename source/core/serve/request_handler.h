#ifndef CORE_SERVE_REQUEST_HANDLER_H_
#define CORE_SERVE_REQUEST_HANDLER_H_

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/caller/handler.h"
#include "core/serve/dependencies.h"

namespace jujuberock::serve {

// Runs the requests that the caller API receives and counts their results.
class RequestHandler : public caller::Handler {
 public:
  explicit RequestHandler(Dependencies& deps);

  void Complete(const caller::CompletionCall& call,
                caller::CompletionWriter& writer) override;
  void Resume(const caller::ResumeCall& call,
              caller::CompletionWriter& writer) override;
  runtime::HttpResponse CallService(const caller::ServiceCall& call) override;

  // After this call, all requests are refused as not run.
  void BeginStop() { this->stopping = true; }
  bool is_stopping() const { return this->stopping; }
  // Call once the host has a configuration.
  void SetReady() { this->ready = true; }
  bool is_ready() const { return this->ready; }

 private:
  // Counters of one kind of request by result, looked up once.
  struct ResultCounters {
    ResultCounters(common::MetricRegistry& counters, const char* kind);

    common::Gauge& in_progress;
    common::Counter& ok;
    std::map<common::ResultCode, common::Counter*> by_code;
  };

  void RequireAccepting() const;
  template <typename Run>
  auto RunCounted(ResultCounters& counts, Run run);
  // Executes the run and records its result under the team's hour band.
  template <typename Run>
  auto ExecuteAndRecord(const std::string& team,
                        const std::string& service,
                        Run& run);

  Dependencies& deps;
  ResultCounters completions;
  ResultCounters resumes;
  ResultCounters services;
  std::atomic<bool> stopping{false};
  std::atomic<bool> ready{false};
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_REQUEST_HANDLER_H_
