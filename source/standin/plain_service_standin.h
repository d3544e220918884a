#ifndef STANDIN_PLAIN_SERVICE_STANDIN_H_
#define STANDIN_PLAIN_SERVICE_STANDIN_H_

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

#include "core/common/time.h"
#include "standin/http_json.h"
#include "standin/standin.h"

namespace jujuberock::standin {

struct PlainServiceOptions {
  common::Duration delay = std::chrono::milliseconds(5);
  // Executions are appended to this file and read back at startup, so that the
  // counts survive a crash. Several processes may share the file. An empty path
  // disables the log.
  std::string execution_log;
  // The process crashes after recording an execution whose key contains this
  // text, before it sends the response. Empty to disable.
  std::string crash_marker;
  bool offers_status = true;
};

// Simulates a plain service, section 5.3 of the design. Counts the executions
// of each "TEAM/KEY" and never deduplicates calls by key, so that duplicate
// executions are detected. POST /control/faults injects faults with any of
// `delay_ms`, `lose_answers` (number of responses to drop after execution) and
// `crash_after_executions`.
class PlainServiceStandin : public Standin {
 public:
  explicit PlainServiceStandin(PlainServiceOptions options);

  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer) override;

 private:
  struct Call {
    uint64_t executions = 0;
    uint64_t running = 0;
    std::string body;
  };

  void Control(const runtime::HttpRequest& request,
               const Target& target,
               runtime::ResponseWriter& writer);
  void Status(const std::string& key, runtime::ResponseWriter& writer);
  void Execute(const runtime::HttpRequest& request,
               runtime::ResponseWriter& writer);
  void RecordExecution(const std::string& key);
  void LoadExecutionLog();

  PlainServiceOptions options;
  std::ofstream log;
  std::map<std::string, Call> calls;
  uint64_t executions = 0;
  uint64_t responses_to_drop = 0;
  uint64_t executions_until_crash = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_PLAIN_SERVICE_STANDIN_H_
