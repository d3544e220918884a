#include "standin/plain_service_standin.h"

#include <cstdlib>
#include <utility>

#include "core/common/hash.h"
#include "core/runtime/sleep.h"
#include "standin/field_writer.h"

namespace jujuberock::standin {

using nlohmann::json;
using runtime::HttpRequest;
using runtime::ResponseWriter;

namespace {

constexpr int kCrashExitStatus = 70;

std::string HeaderOr(const HttpRequest& request,
                     std::string_view name,
                     std::string fallback) {
  const auto value = request.headers.Find(name);
  return value ? std::string(*value) : std::move(fallback);
}

}  // namespace

PlainServiceStandin::PlainServiceStandin(PlainServiceOptions options)
    : options(std::move(options)) {
  if (this->options.execution_log.empty())
    return;
  this->LoadExecutionLog();
  this->log.open(this->options.execution_log, std::ios::app);
}

void PlainServiceStandin::LoadExecutionLog() {
  std::ifstream file(this->options.execution_log);
  std::string key;
  while (std::getline(file, key)) {
    ++this->calls[key].executions;
    ++this->executions;
  }
}

void PlainServiceStandin::Handle(const HttpRequest& request,
                                 ResponseWriter& writer) {
  const Target target = ParseTarget(request.target);
  if (target.segments.size() == 2 && target.segments[0] == "control")
    return this->Control(request, target, writer);
  const bool is_status = target.segments.size() == 2 &&
                         target.segments[0] == "status" &&
                         request.method == "GET";
  if (is_status && this->options.offers_status) {
    // Different teams may use the same key, so the key alone does not identify
    // a call.
    const auto team = request.headers.Find("Jujuberock-Team");
    if (!team)
      return SendJson(writer, 400, {{"error", "Jujuberock-Team is missing"}});
    const std::string key = std::string(*team) + "/" + target.segments[1];
    return this->Status(key, writer);
  }
  FieldWriter naming_writer = NameRequest(request, writer);
  this->Execute(request, naming_writer);
}

void PlainServiceStandin::Control(const HttpRequest& request,
                                  const Target& target,
                                  ResponseWriter& writer) {
  if (target.segments[1] == "faults") {
    const json faults = ParseBody(request);
    if (faults.contains("delay_ms"))
      this->options.delay =
          std::chrono::milliseconds(faults["delay_ms"].get<int64_t>());
    this->responses_to_drop =
        faults.value("lose_answers", this->responses_to_drop);
    this->executions_until_crash =
        faults.value("crash_after_executions", this->executions_until_crash);
    return SendJson(writer, 200, json::object());
  }
  if (target.segments[1] == "executions") {
    json counts = json::object();
    for (const auto& [key, call] : this->calls) {
      // Calls without a key are health probes or idempotent calls.
      if (call.executions > 0 && key.back() != '/')
        counts[key] = call.executions;
    }
    return SendJson(writer, 200, counts);
  }
  SendJson(writer, 200, {{"executions", this->executions}});
}

void PlainServiceStandin::Status(const std::string& key,
                                 ResponseWriter& writer) {
  const auto found = this->calls.find(key);
  if (found == this->calls.end())
    return SendJson(writer, 200, {{"state", "absent"}});
  const Call& call = found->second;
  if (call.executions > 0)
    return SendJson(writer, 200, {{"state", "done"}, {"body", call.body}});
  const char* state = call.running > 0 ? "running" : "absent";
  SendJson(writer, 200, {{"state", state}});
}

void PlainServiceStandin::RecordExecution(const std::string& key) {
  ++this->executions;
  ++this->calls[key].executions;
  if (this->log.is_open())
    this->log << key << std::endl;
  const bool matches_marker =
      !this->options.crash_marker.empty() &&
      key.find(this->options.crash_marker) != std::string::npos;
  const bool countdown_ended =
      this->executions_until_crash > 0 && --this->executions_until_crash == 0;
  if (matches_marker || countdown_ended)
    std::_Exit(kCrashExitStatus);
}

void PlainServiceStandin::Execute(const HttpRequest& request,
                                  ResponseWriter& writer) {
  const std::string team = HeaderOr(request, "Jujuberock-Team", "");
  const std::string id = HeaderOr(request, "Idempotency-Key", "");
  const std::string key = team + "/" + id;
  json response = {{"team", team},
                   {"key", id},
                   {"path", request.target},
                   {"request_hash", common::Hash128Hex(request.body)}};
  ++this->calls[key].running;
  if (this->options.delay > common::Duration::zero())
    runtime::SleepFor(this->options.delay);
  this->RecordExecution(key);
  Call& call = this->calls[key];
  --call.running;
  response["execution"] = call.executions;
  call.body = response.dump();
  if (this->responses_to_drop > 0) {
    --this->responses_to_drop;
    DropConnection();
  }
  SendJson(writer, 200, response);
}

}  // namespace jujuberock::standin
