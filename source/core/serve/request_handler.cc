#include "core/serve/request_handler.h"

#include "core/common/error.h"
#include "core/serve/completion_run.h"
#include "core/serve/recorded_run.h"
#include "core/serve/service_run.h"

namespace jujuberock::serve {

using common::Error;
using common::ResultCode;

namespace {

class InProgress {
 public:
  explicit InProgress(common::Gauge& gauge) : gauge(gauge) { gauge.Add(1); }
  ~InProgress() { this->gauge.Add(-1); }
  InProgress(const InProgress&) = delete;
  InProgress& operator=(const InProgress&) = delete;

 private:
  common::Gauge& gauge;
};

}  // namespace

RequestHandler::Counts::Counts(common::CounterRegistry& counters,
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

RequestHandler::RequestHandler(Parts& parts)
    : parts(parts),
      completions(parts.counters, "completion"),
      resumes(parts.counters, "resume"),
      services(parts.counters, "service") {}

template <typename Run>
auto RequestHandler::Counted(Counts& counts, Run run) {
  const InProgress in_progress(counts.in_progress);
  try {
    this->RequireRunning();
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
  BurnLog& burn = this->parts.burn;
  try {
    if constexpr (std::is_void_v<decltype(run.Execute())>) {
      run.Execute();
      burn.RecordAnswer(team, service, run.in_time());
    } else {
      auto result = run.Execute();
      burn.RecordAnswer(team, service, run.in_time());
      return result;
    }
  } catch (const Error& error) {
    burn.RecordError(team, service, error.code());
    throw;
  }
}

void RequestHandler::RequireRunning() const {
  if (this->stopping)
    throw Error(ResultCode::kStopping, "this host accepts no new requests");
  if (!this->ready)
    throw Error(ResultCode::kNotReady, "this host has no configuration yet");
}

void RequestHandler::Complete(const caller::CompletionCall& call,
                              caller::CompletionWriter& writer) {
  this->Counted(this->completions, [&] {
    CompletionRun run(this->parts, call, writer);
    this->ExecuteAndRecord(call.team, run.service(), run);
  });
}

void RequestHandler::Resume(const caller::ResumeCall& call,
                            caller::CompletionWriter& writer) {
  this->Counted(this->resumes, [&] { ResumeRun(this->parts, call, writer); });
}

runtime::HttpResponse RequestHandler::CallService(
    const caller::ServiceCall& call) {
  return this->Counted(this->services, [&] {
    const table::SnapshotPtr rows = this->parts.view.Current();
    const table::Service* service = rows->ServicePolicy(call.service);
    if (!service || service->kind != table::ServiceKind::kPlain)
      throw Error(ResultCode::kUnknownService,
                  "no plain service " + call.service);
    if (IsNonIdempotent(*service, call.request)) {
      RecordedRun run(this->parts, call, service->status_path);
      return this->ExecuteAndRecord(call.team, call.service, run);
    }
    ServiceRun run(this->parts, call);
    return this->ExecuteAndRecord(call.team, call.service, run);
  });
}

}  // namespace jujuberock::serve
