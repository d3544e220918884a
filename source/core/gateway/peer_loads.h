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
#include "core/reuse/store_book.h"
#include "core/runtime/http_types.h"

namespace jujuberock::gateway {

// A prompt that a host has sent to an engine.
struct SentPrompt {
  // Hash of the endpoint's id.
  uint64_t endpoint = 0;
  dispatch::PeerPrompt prompt;

  friend bool operator==(const SentPrompt&, const SentPrompt&) = default;
};

// What a host did with the link of a cache store.
struct StoreUse {
  // Hash of the store's address.
  uint64_t store = 0;
  // Planned transfers, in Mbit.
  uint32_t mbit = 0;
  // Lateness of requests that read from it, in milliseconds, each by itself.
  std::vector<uint32_t> excess_ms;

  friend bool operator==(const StoreUse&, const StoreUse&) = default;
};

// One datagram between hosts.
struct PeerNews {
  std::vector<SentPrompt> prompts;
  std::vector<StoreUse> stores;
  // Hashes of the ids of endpoints that could not be reached.
  std::vector<uint64_t> lost;

  bool IsEmpty() const {
    return this->prompts.empty() && this->stores.empty() && this->lost.empty();
  }

  friend bool operator==(const PeerNews&, const PeerNews&) = default;
};

// As msgpack.
std::vector<uint8_t> EncodeNews(const PeerNews& news);
// Nothing when the bytes are no such datagram.
std::optional<PeerNews> DecodeNews(const uint8_t* bytes, size_t size);

// Time between two datagrams to each of the other hosts.
common::Duration GatherTime(size_t peers);

// Tells the other hosts which engines this host gives prompts to and how it
// uses the cache stores, and books what they tell. With many hosts each sees a
// small part of an engine's load, and prompts meet on one engine, or fetches on
// one store, while another is idle. Datagrams may be
// lost, forged or late; no guarantee depends on them.
class PeerLoads {
 public:
  // Listens on the address at once. Throws common::Error kInvalidSettings.
  PeerLoads(Dispatcher& dispatcher,
            reuse::StoreBook& stores,
            boost::asio::io_context& io,
            const runtime::Address& address,
            common::CounterRegistry& counters);

  // Addresses of the other hosts.
  void SetPeers(std::vector<runtime::Address> peers);
  // These book something for the next datagram.
  void OnSent(std::string_view endpoint, const dispatch::PeerPrompt& prompt);
  void OnTransfer(const reuse::StoreTransfer& transfer);
  void OnFetched(std::string_view store, common::Duration excess);
  void OnLost(std::string_view endpoint);
  // Runs on two fibers until Stop().
  void Start();
  void Stop();

 private:
  void Receive();
  void SendLoop();
  void SendQueued();

  using Socket = boost::asio::ip::udp::socket;

  StoreUse& UseOf(std::string_view store);
  void Take(const PeerNews& news);

  Dispatcher& dispatcher;
  reuse::StoreBook& stores;
  std::unique_ptr<Socket> socket;
  common::Counter& sent_datagrams;
  common::Counter& received_datagrams;
  common::Counter& malformed_datagrams;
  std::vector<boost::asio::ip::udp::endpoint> peers;
  PeerNews queued;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_PEER_LOADS_H_
