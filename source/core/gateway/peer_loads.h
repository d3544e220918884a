#ifndef CORE_GATEWAY_PEER_LOADS_H_
#define CORE_GATEWAY_PEER_LOADS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "core/common/counters.h"
#include "core/gateway/dispatcher.h"
#include "core/runtime/http_types.h"

namespace jujuberock::gateway {

// A prompt that a host has sent to an engine.
struct SentPrompt {
  // Hash of the endpoint's id.
  uint64_t endpoint = 0;
  // Tokens that the engine must read.
  uint32_t tokens = 0;

  friend bool operator==(const SentPrompt&, const SentPrompt&) = default;
};

// Datagram of prompts sent since the last one; msgpack.
std::vector<uint8_t> EncodeSentPrompts(const std::vector<SentPrompt>& prompts);
// Nothing when the bytes are no such datagram.
std::optional<std::vector<SentPrompt>> DecodeSentPrompts(const uint8_t* bytes,
                                                         size_t size);

// Tells the other hosts which engines this host gives prompts to read, and
// books what they tell. With many hosts each sees a small part of an engine's
// load, and prompts meet on one engine while another is idle. Datagrams may be
// lost, forged or late; no guarantee depends on them.
class PeerLoads {
 public:
  // Listens on the address at once. Throws common::Error kInvalidSettings.
  PeerLoads(Dispatcher& dispatcher,
            boost::asio::io_context& io,
            const runtime::Address& address,
            common::CounterRegistry& counters);

  // Addresses of the other hosts.
  void SetPeers(std::vector<runtime::Address> peers);
  // Books a prompt for the next datagram; short ones are not worth telling.
  void OnSent(std::string_view endpoint, int64_t tokens);
  // Runs on two fibers until Stop().
  void Start();
  void Stop();

 private:
  void Receive();
  void SendLoop();
  void SendQueued();

  using Socket = boost::asio::ip::udp::socket;

  Dispatcher& dispatcher;
  std::unique_ptr<Socket> socket;
  common::Counter& sent_datagrams;
  common::Counter& received_datagrams;
  common::Counter& malformed_datagrams;
  std::vector<boost::asio::ip::udp::endpoint> peers;
  std::vector<SentPrompt> queued;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_PEER_LOADS_H_
