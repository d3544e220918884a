#include "core/serve/request_handler.h"

#include "core/common/error.h"
#include "core/serve/completion_run.h"
#include "core/serve/journaled_run.h"
#include "core/serve/service_run.h"

namespace jujuberock::serve {

using common::Error;
using common::ResultCode;

namespace {

class InProgressScope {
 public:
  explicit InProgressScope(common::Gauge& gauge) : gauge(gauge) {
    gauge.Add(1);
  }
  ~InProgressScope() { this->gauge.Add(-1); }
  InProgressScope(const InProgressScope&) = delete;
  InProgressScope& operator=(const InProgressScope&) = delete;

 private:
  common::Gauge& gauge;
};

}  // namespace

RequestHandler::ResultCounters::ResultCounters(common::MetricRegistry& counters,
                                               const char* kind)
    : in_progress(counters.GetGauge("requests_in_progress", {{"kind", kind}})),
      ok(counters.GetCounter("requests_total",
                             {{"kind", kind}, {"code", "ok"}})) {
  for (const common::ResultCodeInfo& info : common::AllResultCodes()) {
    const std::string name(info.name);
    this->by_code[info.code] = &counters.GetCounter(
        "requests_total", {{"kind", kind}, {"code", name}});
  }
}

RequestHandler::RequestHandler(Dependencies& deps)
    : deps(deps),
      completions(deps.counters, "completion"),
      resumes(deps.counters, "resume"),
      services(deps.counters, "service") {}

template <typename Run>
auto RequestHandler::RunCounted(ResultCounters& counts, Run run) {
  const InProgressScope in_progress(counts.in_progress);
  try {
    this->RequireAccepting();
    if constexpr (std::is_void_v<decltype(run())>) {
      run();
      counts.ok.Add();
    } else {
      auto result = run();
      counts.ok.Add();
      return result;
    }
  } catch (const Error& error) {
    counts.by_code.at(error.code())->Add();
    throw;
  }
}

template <typename Run>
auto RequestHandler::ExecuteAndRecord(const std::string& team,
                                      const std::string& service,
                                      Run& run) {
  BurnRecorder& burn_recorder = this->deps.burn_recorder;
  try {
    if constexpr (std::is_void_v<decltype(run.Execute())>) {
      run.Execute();
      burn_recorder.RecordAnswer(team, service, run.in_time());
    } else {
      auto result = run.Execute();
      burn_recorder.RecordAnswer(team, service, run.in_time());
      return result;
    }
  } catch (const Error& error) {
    burn_recorder.RecordError(team, service, error.code());
    throw;
  }
}

void RequestHandler::RequireAccepting() const {
  if (this->stopping)
    throw Error(ResultCode::kStopping, "this host accepts no new requests");
  if (!this->ready)
    throw Error(ResultCode::kNotReady, "this host has no configuration yet");
}

void RequestHandler::Complete(const caller::CompletionCall& call,
                              caller::CompletionWriter& writer) {
  this->RunCounted(this->completions, [&] {
    CompletionRun run(this->deps, call, writer);
    this->ExecuteAndRecord(call.team, run.service(), run);
  });
}

void RequestHandler::Resume(const caller::ResumeCall& call,
                            caller::CompletionWriter& writer) {
  this->RunCounted(this->resumes,
                   [&] { ResumeStream(this->deps, call, writer); });
}

runtime::HttpResponse RequestHandler::CallService(
    const caller::ServiceCall& call) {
  return this->RunCounted(this->services, [&] {
    const table::SnapshotPtr rows = this->deps.view.Current();
    const table::Service* service = rows->FindService(call.service);
    if (!service || service->kind != table::ServiceKind::kPlain)
      throw Error(ResultCode::kUnknownService,
                  "no plain service " + call.service);
    if (IsNonIdempotent(*service, call.request)) {
      JournaledRun run(this->deps, call, service->status_path);
      return this->ExecuteAndRecord(call.team, call.service, run);
    }
    ServiceRun run(this->deps, call);
    return this->ExecuteAndRecord(call.team, call.service, run);
  });
}

}  // namespace jujuberock::serve
