#ifndef CORE_SERVE_JOURNAL_TRANSPORT_H_
#define CORE_SERVE_JOURNAL_TRANSPORT_H_

#include <string>
#include <string_view>

#include "core/common/timer_service.h"
#include "core/host/peer_transport.h"
#include "core/journal/codec.h"
#include "core/journal/service.h"

namespace jujuberock::serve {

// Sends the journal's messages over the transport between hosts.
class JournalTransport : public journal::Transport {
 public:
  JournalTransport(host::PeerTransport& peers, common::TimerService& timers)
      : peers(peers), timers(timers) {}

  std::string Send(const journal::HostId& host,
                   std::string_view message,
                   const std::string& body,
                   common::Duration timeout) override {
    return this->peers.Call(host, message, body, this->timers.Now() + timeout);
  }

 private:
  host::PeerTransport& peers;
  common::TimerService& timers;
};

// Registers the service as the handler of the journal's messages from other
// hosts. The transport may outlive the service.
inline void HandleJournalMessages(host::PeerTransport& peers,
                                  journal::Service& service) {
  for (const char* message :
       {journal::kPermitMessage, journal::kOutcomeMessage}) {
    peers.RegisterHandler(message,
                          [handler = service.MakeMessageHandler(), message](
                              const std::string&, std::string_view body) {
                            return handler(message, body);
                          });
  }
}

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_JOURNAL_TRANSPORT_H_
