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

#include "core/catalog/evacuations.h"
#include "core/common/metrics.h"
#include "core/gateway/dispatcher.h"
#include "core/reuse/cache_store_index.h"
#include "core/runtime/http_types.h"

namespace jujuberock::gateway {

// A prompt that a host sent to an engine.
struct SentPrompt {
  // Hash of the endpoint's id.
  uint64_t endpoint = 0;
  dispatch::PeerPrompt prompt;

  friend bool operator==(const SentPrompt&, const SentPrompt&) = default;
};

// A host's use of the link of a cache store.
struct CacheStoreUsage {
  // Hash of the store's address.
  uint64_t store = 0;
  // Planned transfers, in Mbit.
  uint32_t mbit = 0;
  // How much later than predicted each request that read from it started, in
  // milliseconds.
  std::vector<uint32_t> excess_ms;

  friend bool operator==(const CacheStoreUsage&,
                         const CacheStoreUsage&) = default;
};

// Load that an engine has reported to a host.
struct EngineLoad {
  // Hash of the endpoint's id.
  uint64_t endpoint = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // How long work takes there, in percent of the usual time.
  uint32_t work_percent = 0;

  friend bool operator==(const EngineLoad&, const EngineLoad&) = default;
};

// Contents of one datagram between hosts.
struct PeerUpdate {
  std::vector<SentPrompt> prompts;
  std::vector<CacheStoreUsage> stores;
  // Hashes of the ids of unreachable endpoints.
  std::vector<uint64_t> unreachable;
  // What the store said of evacuated zones. Sent in datagrams of their own,
  // because hosts of former versions do not understand them.
  std::vector<catalog::PeerEvacuation> evacuations = {};
  // Not encoded when empty, so that hosts of versions that do not know this
  // list read the other ones.
  std::vector<EngineLoad> loads = {};

  bool IsEmpty() const {
    return this->prompts.empty() && this->stores.empty() &&
           this->unreachable.empty() && this->evacuations.empty() &&
           this->loads.empty();
  }

  friend bool operator==(const PeerUpdate&, const PeerUpdate&) = default;
};

// Encodes the update as MessagePack.
std::vector<uint8_t> EncodePeerUpdate(const PeerUpdate& update);
// Returns nullopt if the bytes are no valid datagram.
std::optional<PeerUpdate> DecodePeerUpdate(const uint8_t* bytes, size_t size);

// Returns the time between two datagrams to each of `peers` other hosts.
common::Duration DatagramInterval(size_t peers);
// The same for datagrams that repeat which zones are evacuated. A host gets
// them from all others, so that it learns of a change from one of them soon.
common::Duration EvacuationInterval(size_t peers);

// Exchanges load information with the other hosts over UDP: which engines get
// prompts and how much the cache stores are used. Each of many hosts sees only
// a small part of an engine's load, so without the exchange prompts collide on
// one engine, or fetches on one store, while others are idle. Datagrams may be
// lost, forged or late; no guarantee depends on them but one: a host that can't
// reach the platform's store learns from them which zones are evacuated.
class PeerLoads {
 public:
  // Binds to the address. Throws common::Error kInvalidSettings.
  PeerLoads(PlatformView& view,
            Dispatcher& dispatcher,
            reuse::CacheStoreIndex& cache_store_index,
            boost::asio::io_context& io,
            const runtime::Address& address,
            common::MetricRegistry& counters);

  // Sets the addresses of the other hosts.
  void SetPeers(std::vector<runtime::Address> peers);
  // These add an entry to the next datagram.
  void OnSent(std::string_view endpoint, const dispatch::PeerPrompt& prompt);
  void OnTransfer(const reuse::StoreTransfer& transfer);
  void OnFetched(std::string_view store, common::Duration excess);
  void OnUnreachable(std::string_view endpoint);
  void OnLoad(std::string_view endpoint, const dispatch::LoadReport& load);
  // Starts the fibers that send and receive; they run until Stop().
  void Start();
  void Stop();

 private:
  void Receive();
  void SendLoop();
  void SendPending();
  void SendToAll(const PeerUpdate& update);
  void RepeatEvacuations();

  using Socket = boost::asio::ip::udp::socket;

  CacheStoreUsage& UsageOf(std::string_view store);
  void Apply(const PeerUpdate& update);

  PlatformView& view;
  Dispatcher& dispatcher;
  reuse::CacheStoreIndex& cache_store_index;
  std::unique_ptr<Socket> socket;
  common::Counter& sent_datagrams;
  common::Counter& received_datagrams;
  common::Counter& malformed_datagrams;
  common::Counter& shared_loads;
  std::vector<boost::asio::ip::udp::endpoint> peers;
  PeerUpdate pending_update;
  common::TimePoint evacuations_sent_at;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_PEER_LOADS_H_
