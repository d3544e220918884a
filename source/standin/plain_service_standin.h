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
  // Executions are appended to this file and read back at start, so that the
  // counts outlive a crash. Several processes may share it. May be empty.
  std::string execution_log;
  // An execution whose key contains this text ends the process before the
  // answer; empty for none.
  std::string crash_marker;
  bool offers_status = true;
};

// A plain service, section 5.3 of the design. It counts executions for each
// "TEAM/KEY" and never suppresses a repeated key, so that a repeated call
// shows. Faults by POST /control/faults with any of `delay_ms`,
// `lose_answers`, `crash_after_executions`.
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
  void Record(const std::string& key);
  void ReadLog();

  PlainServiceOptions options;
  std::ofstream log;
  std::map<std::string, Call> calls;
  uint64_t executions = 0;
  uint64_t answers_to_lose = 0;
  uint64_t executions_until_crash = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_PLAIN_SERVICE_STANDIN_H_
