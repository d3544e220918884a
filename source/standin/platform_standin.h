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
  // Rate limits in calls per second, above which the response is 429; zero
  // means unlimited. Starting a watch counts as one read.
  double writes_per_s = 400;
  double reads_per_s = 2000;
  common::Duration delay = std::chrono::milliseconds(2);
  common::Duration keep_alive = std::chrono::seconds(1);
  // JSON file {"objects": [{kind, name, body}]} with the initial objects; an
  // empty path means none.
  std::string objects_file;
};

// Simulates the platform's object API, section 5.6 of the design. POST
// /control/faults injects faults with any of `outage_ms`, `delay_ms`,
// `lose_answers` (number of writes that take effect without a response),
// `silent_watches` (open and new watches send nothing, not even keep-alive
// lines), `copy` (makes a copy of the store) and `restore` (brings the last
// copy back and cuts watches off). PUT /control/objects/KIND/NAME writes an
// object whose body is served as it is sent, even if it is not JSON; it must be
// a single line. All answers state the era of the store.
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
  void Serve(const runtime::HttpRequest& request,
             const Target& target,
             runtime::ResponseWriter& writer);
  void Read(const Target& target, runtime::ResponseWriter& writer);
  void List(const Target& target, runtime::ResponseWriter& writer);
  void Change(const runtime::HttpRequest& request,
              const Target& target,
              runtime::ResponseWriter& writer);
  void Watch(const Target& target, runtime::ResponseWriter& writer);
  void CountWrite();

  PlatformOptions options;
  PlatformStore store;
  FiberSignal change_signal;
  TokenBucket write_limiter;
  TokenBucket read_limiter;
  Counts counts;
  common::TimePoint outage_until;
  uint64_t responses_to_drop = 0;
  bool silent_watches = false;
  int64_t write_second = 0;
  uint64_t writes_in_second = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_PLATFORM_STANDIN_H_
