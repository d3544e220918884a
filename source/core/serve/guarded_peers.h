#ifndef CORE_SERVE_GUARDED_PEERS_H_
#define CORE_SERVE_GUARDED_PEERS_H_

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "core/host/peer_transport.h"

namespace jujuberock::serve {

// A transport whose handlers can be shut before what they use is destroyed,
// while calls to other hosts still go on.
class GuardedPeers : public host::PeerTransport {
 public:
  explicit GuardedPeers(host::PeerTransport& inner) : inner(inner) {}

  std::string Call(const std::string& host,
                   std::string_view message,
                   std::string_view body,
                   common::TimePoint deadline) override {
    return this->inner.Call(host, message, body, deadline);
  }

  void Handle(std::string message, host::MessageHandler handler) override {
    this->inner.Handle(std::move(message),
                       [this, handler = std::move(handler)](
                           const std::string& from, std::string_view body) {
                         const Entry entry(this->running);
                         if (this->shut)
                           throw common::Error(common::ResultCode::kStopping,
                                               "this host is stopping");
                         return handler(from, body);
                       });
  }

  // Refuses messages from now on and waits for the handlers that run. Call it
  // from a thread that is not a worker.
  void ShutHandlers() {
    this->shut = true;
    while (this->running.load() > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

 private:
  struct Entry {
    explicit Entry(std::atomic<int>& count) : count(count) { ++this->count; }
    ~Entry() { --this->count; }
    std::atomic<int>& count;
  };

  host::PeerTransport& inner;
  std::atomic<bool> shut{false};
  std::atomic<int> running{0};
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_GUARDED_PEERS_H_
