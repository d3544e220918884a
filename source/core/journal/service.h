#ifndef CORE_JOURNAL_SERVICE_H_
#define CORE_JOURNAL_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/metrics.h"
#include "core/common/timer_service.h"
#include "core/journal/call.h"
#include "core/journal/messages.h"
#include "core/journal/options.h"
#include "core/platform/object.h"

namespace jujuberock::platform {
class Client;
}

namespace jujuberock::journal {

// Storage for the journal's objects (platform kind `journal`). Methods suspend
// the calling fiber; Read throws common::Error if the platform does not answer.
class Store {
 public:
  virtual ~Store() = default;
  virtual std::optional<platform::Object> Read(const std::string& name) = 0;
  virtual platform::WriteResult Write(const std::string& name,
                                      platform::Version expected,
                                      const std::string& body,
                                      const std::string& token) = 0;
  virtual void Delete(const std::string& name) = 0;
};

// Creates a store backed by the platform. `client` must outlive it.
std::unique_ptr<Store> MakePlatformStore(platform::Client& client);

// Sends the messages `permit` and `outcome` to another host.
class Transport {
 public:
  virtual ~Transport() = default;
  // Suspends the calling fiber until the reply arrives and returns its bytes.
  // Throws common::Error if the host is unreachable or does not answer within
  // `timeout`; the message may have been handled in either case.
  virtual std::string Send(const HostId& host,
                           std::string_view message,
                           const std::string& body,
                           common::Duration timeout) = 0;
};

// Result of an endpoint exchange; `answer` is empty if none was received.
struct ForwardResult {
  std::optional<SavedAnswer> answer;
  // Reason for the missing answer; returned to the caller if no byte was
  // written.
  common::ResultCode code = common::ResultCode::kEndpointFailed;
};

// Must be called just before the first byte is written to the endpoint. If it
// returns false, nothing may be written.
using BeforeFirstByte = std::function<bool()>;
// Performs the endpoint exchange with at most one connection and one request.
// The answer must hold the complete body; the journal limits what it stores. An
// exception counts as no answer.
using Forward = std::function<ForwardResult(const BeforeFirstByte&)>;
struct ServiceCallStatus {
  ServiceCallState state = ServiceCallState::kNoAnswer;
  SavedAnswer answer;
};
// Queries the service's status call; empty if the service has none.
using QueryStatus = std::function<ServiceCallStatus()>;
// Returns the live hosts, including this one, in rendezvous order for the
// shard. Runs with the service's lock held (LockRank::kJournal) and must not
// suspend.
using HostOrder = std::function<std::vector<HostId>(ShardId)>;

// Executes non-idempotent calls and owns shards on this host. Thread-safe; must
// be called from fibers. All dependencies must outlive it, and every Execute()
// must have returned before it is destroyed. The destructor waits for platform
// calls and messages in flight and must not run on a worker.
class Service {
 public:
  Service(Options options,
          HostId host,
          Store& store,
          Transport& transport,
          common::TimerService& timers,
          HostOrder hosts,
          common::MetricRegistry& counters);
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  // Executes one call and suspends until its result is known. `forward` is
  // called at most once.
  CallResult Execute(const CallRequest& request,
                     const Forward& forward,
                     const QueryStatus& query_status = nullptr);

  // Handles a message from another host and returns the encoded reply. Throws
  // common::Error kProtocolError for a malformed message.
  std::string HandleMessage(std::string_view message, std::string_view body);
  // Returns HandleMessage as a function that may outlive the service. After the
  // service is destroyed, it throws common::Error kStopping.
  using MessageHandler = std::function<std::string(std::string_view message,
                                                   std::string_view body)>;
  MessageHandler MakeMessageHandler();

  // Graceful shutdown: stops taking over shards, commits pending changes and
  // reports unconfirmed outcomes to their owners, for at most `limit`. Can be
  // called from any thread.
  void Stop(common::Duration limit);

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_SERVICE_H_
