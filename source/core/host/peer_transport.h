#ifndef CORE_HOST_PEER_TRANSPORT_H_
#define CORE_HOST_PEER_TRANSPORT_H_

#include <functional>
#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/common/time.h"

namespace jujuberock::host {

// Handles one message and returns the response body. `from` is the name that
// the calling host claimed in the handshake; the deployment key authenticates
// membership of the deployment, not the name. Runs on its own fiber and may
// suspend. A common::Error that it throws is passed to the caller with its code
// and detail.
using MessageHandler =
    std::function<std::string(const std::string& from, std::string_view body)>;

// Request/response messaging between hosts. Every body is a msgpack array whose
// first element is the format version of the message.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Sends a message to the named host (the name of its `host` object) and
  // suspends the calling fiber until the response arrives or `deadline` passes.
  // Throws common::Error:
  // - kPeerUnavailable, outcome not_run: the host is unknown or no connection
  //   could be made; the message was not sent;
  // - kPeerUnavailable, outcome unknown: the connection broke after sending;
  // - kDeadlineExceeded, outcome not_run when nothing was sent, else unknown;
  // - kValueTooLarge: the body or the response exceeds the size limit;
  // - kProtocolError: the peer does not know the message or violated the
  //   protocol;
  // - any code that the peer's handler threw.
  virtual std::string Call(const std::string& host,
                           std::string_view message,
                           std::string_view body,
                           common::TimePoint deadline) = 0;

  // Registers the handler of a message. Must be called before the transport
  // starts serving; a later handler for the same message replaces the earlier
  // one.
  virtual void RegisterHandler(std::string message, MessageHandler handler) = 0;
};

}  // namespace jujuberock::host

#endif  // CORE_HOST_PEER_TRANSPORT_H_
