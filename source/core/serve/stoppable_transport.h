#ifndef CORE_SERVE_STOPPABLE_TRANSPORT_H_
#define CORE_SERVE_STOPPABLE_TRANSPORT_H_

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "core/host/peer_transport.h"

namespace jujuberock::serve {

// A transport whose message handlers can be stopped before what they use is
// destroyed, while calls to other hosts still work.
class StoppableTransport : public host::PeerTransport {
 public:
  explicit StoppableTransport(host::PeerTransport& inner) : inner(inner) {}

  std::string Call(const std::string& host,
                   std::string_view message,
                   std::string_view body,
                   common::TimePoint deadline) override {
    return this->inner.Call(host, message, body, deadline);
  }

  void RegisterHandler(std::string message,
                       host::MessageHandler handler) override {
    this->inner.RegisterHandler(
        std::move(message),
        [this, handler = std::move(handler)](const std::string& from,
                                             std::string_view body) {
          const HandlerScope scope(this->running);
          if (this->stopped)
            throw common::Error(common::ResultCode::kStopping,
                                "this host is stopping");
          return handler(from, body);
        });
  }

  // Refuses further messages and waits until the running handlers have
  // returned. Call it from a thread that is not a worker.
  void StopHandlers() {
    this->stopped = true;
    while (this->running.load() > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

 private:
  struct HandlerScope {
    explicit HandlerScope(std::atomic<int>& count) : count(count) {
      ++this->count;
    }
    ~HandlerScope() { --this->count; }
    std::atomic<int>& count;
  };

  host::PeerTransport& inner;
  std::atomic<bool> stopped{false};
  std::atomic<int> running{0};
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_STOPPABLE_TRANSPORT_H_
