#ifndef STANDIN_PLATFORM_STANDIN_H_
#define STANDIN_PLATFORM_STANDIN_H_

#include <string>

#include "core/common/time.h"
#include "standin/clock.h"
#include "standin/fiber_signal.h"
#include "standin/http_json.h"
#include "standin/platform_store.h"
#include "standin/standin.h"
#include "standin/token_bucket.h"

namespace jujuberock::standin {

struct PlatformOptions {
  // Calls per second before 429; zero is no limit. A watch is one read.
  double writes_per_s = 400;
  double reads_per_s = 2000;
  common::Duration delay = std::chrono::milliseconds(2);
  common::Duration keep_alive = std::chrono::seconds(1);
  // JSON file {"objects": [{kind, name, body}]} loaded at start; may be empty.
  std::string objects_file;
};

// The platform's object API, section 5.6 of the design. Faults by POST
// /control/faults with any of `outage_ms`, `delay_ms`, `lose_answers` (writes
// that take effect without an answer) and `silent_watches` (open and new
// watches send nothing, not even keep-alive lines).
class PlatformStandin : public Standin {
 public:
  explicit PlatformStandin(PlatformOptions options);

  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer) override;

 private:
  struct Counts {
    uint64_t reads = 0;
    uint64_t writes = 0;
    uint64_t lists = 0;
    uint64_t watches = 0;
    uint64_t limited = 0;
    uint64_t conflicts = 0;
    uint64_t refused_in_outage = 0;
    uint64_t lost_answers = 0;
    uint64_t most_writes_in_a_second = 0;
  };

  void LoadObjects();
  bool InOutage() const { return Now() < this->outage_until; }
  void Control(const runtime::HttpRequest& request,
               const Target& target,
               runtime::ResponseWriter& writer);
  void SetFaults(const nlohmann::json& faults);
  void Read(const Target& target, runtime::ResponseWriter& writer);
  void List(const Target& target, runtime::ResponseWriter& writer);
  void Change(const runtime::HttpRequest& request,
              const Target& target,
              runtime::ResponseWriter& writer);
  void Watch(const Target& target, runtime::ResponseWriter& writer);
  void CountWrite();

  PlatformOptions options;
  PlatformStore store;
  FiberSignal changed;
  TokenBucket write_limit;
  TokenBucket read_limit;
  Counts counts;
  common::TimePoint outage_until;
  uint64_t answers_to_lose = 0;
  bool silent_watches = false;
  int64_t write_second = 0;
  uint64_t writes_in_second = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_PLATFORM_STANDIN_H_
