#ifndef CORE_JOURNAL_SERVICE_H_
#define CORE_JOURNAL_SERVICE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/counters.h"
#include "core/common/timer_service.h"
#include "core/journal/call.h"
#include "core/journal/messages.h"
#include "core/journal/options.h"
#include "core/platform/object.h"

namespace jujuberock::platform {
class Client;
}

namespace jujuberock::journal {

// The journal's objects in the platform (kind `journal`). Methods suspend the
// calling fiber; Read throws common::Error when the platform does not answer.
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

// The store in the platform; the client must outlive it.
std::unique_ptr<Store> MakePlatformStore(platform::Client& client);

// Sends the messages `permit` and `outcome` to another host.
class Transport {
 public:
  virtual ~Transport() = default;
  // Suspends the calling fiber until the reply's bytes arrive. Throws
  // common::Error when the host can not be reached or did not answer within
  // `timeout`; the message may have been handled even then.
  virtual std::string Send(const HostId& host,
                           std::string_view message,
                           const std::string& body,
                           common::Duration timeout) = 0;
};

// What an endpoint exchange ended with: an answer, or nothing when none came.
struct ForwardResult {
  std::optional<SavedAnswer> answer;
  // Why there is no answer; told to the caller when nothing was written.
  common::ResultCode code = common::ResultCode::kEndpointFailed;
};

// Must be called just before the first byte is written to the endpoint. When
// it returns false, nothing may be written.
using BeforeFirstByte = std::function<bool()>;
// Performs the endpoint exchange, at most one connection and one request. The
// answer's body is the whole body; the journal cuts what it keeps. Exceptions
// count as no answer.
using Forward = std::function<ForwardResult(const BeforeFirstByte&)>;
// The service's status call; empty when it has none.
struct StatusResult {
  ServiceState state = ServiceState::kNoAnswer;
  SavedAnswer answer;
};
using QueryStatus = std::function<StatusResult()>;
// Live hosts in rendezvous order of the shard, this one included. Runs with the
// service's lock held (LockRank::kJournal) and must not suspend.
using HostOrder = std::function<std::vector<HostId>(ShardId)>;

// Runs non-idempotent calls and owns shards on this host. Thread-safe; call it
// from fibers. Every dependency must outlive it, and every Execute() must have
// returned before it is destroyed. The destructor waits for the platform calls
// and messages that are under way; it must not run on a worker.
class Service {
 public:
  Service(Options options,
          HostId host,
          Store& store,
          Transport& transport,
          common::TimerService& timers,
          HostOrder hosts,
          common::CounterRegistry& counters);
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  // Runs one call. Suspends until the caller can be answered. `forward` is
  // called at most once.
  CallResult Execute(const CallRequest& request,
                     const Forward& forward,
                     const QueryStatus& query_status = nullptr);

  // Handles a message of another host and returns the reply's bytes. Throws
  // common::Error kProtocolError for malformed bytes.
  std::string HandleMessage(std::string_view message, std::string_view body);
  // HandleMessage as a function that may outlive the service; it throws
  // common::Error kStopping then.
  using MessageHandler = std::function<std::string(std::string_view message,
                                                   std::string_view body)>;
  MessageHandler Handler();

  // Planned stop: commits what is outstanding, hands unconfirmed outcomes to
  // their owners and waits at most `limit`. Takes over no shard after that.
  // Callable from any thread.
  void Stop(common::Duration limit);

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_SERVICE_H_
