#include "core/gateway/peer_loads.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <span>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/common/msgpack_unpack.h"
#include "core/runtime/await.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;
using common::Error;
using common::ResultCode;
using Json = nlohmann::json;

// Updates are collected for this time and sent in one datagram. The interval
// grows with the number of hosts, which bounds the datagrams a host sends.
constexpr common::Duration kMinDatagramInterval = std::chrono::milliseconds(12);
constexpr double kMaxDatagramsPerSecond = 2000;
// An update with the maximum number of prompts or stores is sent immediately.
// With these limits an update fits into kMaxDatagramBytes.
constexpr size_t kMaxPrompts = 30;
// Hosts of earlier versions send up to this many.
constexpr size_t kMaxReceivedPrompts = 32;
constexpr size_t kMaxStores = 14;
constexpr size_t kMaxExcessesPerStore = 4;
constexpr size_t kMaxUnreachable = 16;
constexpr size_t kMaxLoads = 48;
// Figures of a load are cut to this, which bounds the size of an entry.
constexpr double kMaxFigure = 65535;
constexpr size_t kMaxEvacuations = catalog::Evacuations::kMaxZones;
constexpr common::Duration kMinEvacuationInterval =
    std::chrono::milliseconds(500);
constexpr double kMaxEvacuationsPerSecond = 100;
constexpr size_t kMaxDatagramBytes = 1472;
constexpr common::Duration kErrorPause = std::chrono::milliseconds(50);

uint32_t ToClampedMilliseconds(common::Duration time) {
  const double ms = common::ToMilliseconds(time);
  return static_cast<uint32_t>(std::clamp(ms, 0.0, 60000.0));
}

// Returns the elements of an array of `minimum` to `maximum` elements. Throws
// msgpack::type_error for any other value.
std::span<const msgpack::object> ElementsOf(const msgpack::object& value,
                                            size_t minimum,
                                            size_t maximum) {
  if (value.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  const msgpack::object_array& array = value.via.array;
  if (array.size < minimum || array.size > maximum)
    throw msgpack::type_error();
  return {array.ptr, array.size};
}

// [endpoint, uncached tokens, memory tokens, run time in ms, is long, urgency].
// Earlier versions send no urgency; later ones may add fields.
SentPrompt DecodePrompt(const msgpack::object& item) {
  const auto fields = ElementsOf(item, 5, kMaxDatagramBytes);
  SentPrompt sent;
  sent.endpoint = fields[0].as<uint64_t>();
  sent.prompt.uncached_tokens = fields[1].as<uint32_t>();
  sent.prompt.memory_tokens = fields[2].as<uint32_t>();
  sent.prompt.run_time = std::chrono::milliseconds(fields[3].as<uint32_t>());
  sent.prompt.is_long = fields[4].as<uint32_t>() != 0;
  if (fields.size() > 5)
    sent.prompt.urgency = static_cast<int>(std::min<uint32_t>(
        fields[5].as<uint32_t>(), dispatch::kUrgencyLevels - 1));
  return sent;
}

// [store, Mbit, excess in ms...]
CacheStoreUsage DecodeStoreUsage(const msgpack::object& item) {
  const auto fields = ElementsOf(item, 2, 2 + kMaxExcessesPerStore);
  CacheStoreUsage usage{fields[0].as<uint64_t>(), fields[1].as<uint32_t>(), {}};
  for (const msgpack::object& excess : fields.subspan(2))
    usage.excess_ms.push_back(excess.as<uint32_t>());
  return usage;
}

// [endpoint, running, waiting, slots, percent]. Later versions may add fields.
EngineLoad DecodeLoad(const msgpack::object& item) {
  const auto fields = ElementsOf(item, 5, kMaxDatagramBytes);
  return {fields[0].as<uint64_t>(), fields[1].as<uint32_t>(),
          fields[2].as<uint32_t>(), fields[3].as<uint32_t>(),
          fields[4].as<uint32_t>()};
}

// [zone, era, revision, whether the evacuation has ended]. Later versions may
// add fields.
catalog::PeerEvacuation DecodeEvacuation(const msgpack::object& item) {
  const auto fields = ElementsOf(item, 4, kMaxDatagramBytes);
  return {fields[0].as<uint64_t>(),
          {fields[1].as<uint64_t>(), fields[2].as<uint64_t>(),
           fields[3].as<uint32_t>() != 0}};
}

// [prompts, stores, hashes of unreachable endpoints], and the evacuations and
// the loads of engines as a fourth and fifth list if there are any.
PeerUpdate DecodeLists(const msgpack::object& value) {
  const auto lists = ElementsOf(value, 3, 5);
  PeerUpdate update;
  for (const msgpack::object& item :
       ElementsOf(lists[0], 0, kMaxReceivedPrompts))
    update.prompts.push_back(DecodePrompt(item));
  for (const msgpack::object& item : ElementsOf(lists[1], 0, kMaxStores))
    update.stores.push_back(DecodeStoreUsage(item));
  for (const msgpack::object& hash : ElementsOf(lists[2], 0, kMaxUnreachable))
    update.unreachable.push_back(hash.as<uint64_t>());
  if (lists.size() == 3)
    return update;
  for (const msgpack::object& item : ElementsOf(lists[3], 0, kMaxEvacuations))
    update.evacuations.push_back(DecodeEvacuation(item));
  if (lists.size() == 4)
    return update;
  for (const msgpack::object& item : ElementsOf(lists[4], 0, kMaxLoads))
    update.loads.push_back(DecodeLoad(item));
  return update;
}

}  // namespace

std::vector<uint8_t> EncodePeerUpdate(const PeerUpdate& update) {
  Json prompts = Json::array();
  for (const SentPrompt& sent : update.prompts)
    prompts.push_back({sent.endpoint, sent.prompt.uncached_tokens,
                       sent.prompt.memory_tokens,
                       ToClampedMilliseconds(sent.prompt.run_time),
                       sent.prompt.is_long ? 1 : 0, sent.prompt.urgency});
  Json stores = Json::array();
  for (const CacheStoreUsage& usage : update.stores) {
    Json item = {usage.store, usage.mbit};
    for (const uint32_t excess : usage.excess_ms)
      item.push_back(excess);
    stores.push_back(std::move(item));
  }
  Json lists = Json::array(
      {std::move(prompts), std::move(stores), Json(update.unreachable)});
  Json evacuations = Json::array();
  for (const auto& [zone, record] : update.evacuations)
    evacuations.push_back(
        {zone, record.era, record.revision, record.is_ended ? 1 : 0});
  if (!evacuations.empty() || !update.loads.empty())
    lists.push_back(std::move(evacuations));
  if (!update.loads.empty()) {
    Json loads = Json::array();
    for (const EngineLoad& load : update.loads)
      loads.push_back({load.endpoint, load.running, load.waiting, load.slots,
                       load.work_percent});
    lists.push_back(std::move(loads));
  }
  return Json::to_msgpack(lists);
}

std::optional<PeerUpdate> DecodePeerUpdate(const uint8_t* bytes, size_t size) {
  const std::string_view message(reinterpret_cast<const char*>(bytes), size);
  try {
    return DecodeLists(common::UnpackMessage(message).get());
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

PeerLoads::PeerLoads(PlatformView& view,
                     Dispatcher& dispatcher,
                     reuse::CacheStoreIndex& cache_store_index,
                     boost::asio::io_context& io,
                     const runtime::Address& address,
                     common::MetricRegistry& counters)
    : view(view),
      dispatcher(dispatcher),
      cache_store_index(cache_store_index),
      sent_datagrams(counters.GetCounter("peer_datagrams_sent_total")),
      received_datagrams(counters.GetCounter("peer_datagrams_received_total")),
      malformed_datagrams(
          counters.GetCounter("peer_datagrams_malformed_total")),
      shared_loads(counters.GetCounter("engine_loads_shared_total")) {
  try {
    const udp::endpoint endpoint(boost::asio::ip::make_address(address.ip),
                                 address.port);
    this->socket = std::make_unique<Socket>(io, endpoint);
    this->socket->non_blocking(true);
  } catch (const boost::system::system_error& error) {
    throw Error(
        ResultCode::kInvalidSettings,
        "can not listen on " + address.ToString() + ": " + error.what());
  }
}

void PeerLoads::SetPeers(std::vector<runtime::Address> addresses) {
  this->peers.clear();
  for (const runtime::Address& address : addresses) {
    error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip, error);
    if (!error)
      this->peers.emplace_back(ip, address.port);
  }
}

void PeerLoads::OnSent(std::string_view endpoint,
                       const dispatch::PeerPrompt& prompt) {
  this->pending_update.prompts.push_back({common::Hash64(endpoint), prompt});
  if (this->pending_update.prompts.size() >= kMaxPrompts)
    this->SendPending();
}

CacheStoreUsage& PeerLoads::UsageOf(std::string_view store) {
  const uint64_t hash = common::Hash64(store);
  for (CacheStoreUsage& usage : this->pending_update.stores) {
    if (usage.store == hash)
      return usage;
  }
  if (this->pending_update.stores.size() >= kMaxStores)
    this->SendPending();
  return this->pending_update.stores.emplace_back(CacheStoreUsage{hash, 0, {}});
}

void PeerLoads::OnTransfer(const reuse::StoreTransfer& transfer) {
  this->UsageOf(transfer.store).mbit +=
      static_cast<uint32_t>(std::lround(transfer.mbit));
}

void PeerLoads::OnFetched(std::string_view store, common::Duration excess) {
  CacheStoreUsage& usage = this->UsageOf(store);
  if (usage.excess_ms.size() < kMaxExcessesPerStore)
    usage.excess_ms.push_back(ToClampedMilliseconds(excess));
}

void PeerLoads::OnUnreachable(std::string_view endpoint) {
  if (this->pending_update.unreachable.size() < kMaxUnreachable)
    this->pending_update.unreachable.push_back(common::Hash64(endpoint));
}

void PeerLoads::OnLoad(std::string_view endpoint,
                       const dispatch::LoadReport& load) {
  const auto clamped = [](double value) {
    return static_cast<uint32_t>(std::clamp(value, 0.0, kMaxFigure));
  };
  const uint64_t hash = common::Hash64(endpoint);
  auto& loads = this->pending_update.loads;
  std::erase_if(
      loads, [&](const EngineLoad& other) { return other.endpoint == hash; });
  if (loads.size() >= kMaxLoads)
    return;
  this->shared_loads.Add();
  loads.push_back({hash, clamped(static_cast<double>(load.running)),
                   clamped(static_cast<double>(load.waiting)),
                   clamped(static_cast<double>(load.slots)),
                   clamped(100 * load.work_factor.value_or(1))});
}

void PeerLoads::Start() {
  runtime::SpawnLocal([this] { this->Receive(); });
  runtime::SpawnLocal([this] { this->SendLoop(); });
}

void PeerLoads::Stop() {
  this->stopping = true;
  error_code ignored;
  this->socket->cancel(ignored);
}

common::Duration DatagramInterval(size_t peers) {
  const double seconds = static_cast<double>(peers) / kMaxDatagramsPerSecond;
  return std::max(kMinDatagramInterval, common::FromSeconds(seconds));
}

void PeerLoads::SendLoop() {
  while (!this->stopping) {
    runtime::SleepFor(DatagramInterval(this->peers.size()));
    if (!this->pending_update.IsEmpty())
      this->SendPending();
    this->RepeatEvacuations();
  }
}

common::Duration EvacuationInterval(size_t peers) {
  const double seconds = static_cast<double>(peers) / kMaxEvacuationsPerSecond;
  return std::max(kMinEvacuationInterval, common::FromSeconds(seconds));
}

void PeerLoads::RepeatEvacuations() {
  const common::TimePoint now = runtime::BootNow();
  if (now < this->evacuations_sent_at + EvacuationInterval(this->peers.size()))
    return;
  PeerUpdate update;
  update.evacuations = this->view.evacuations().ForPeers(now);
  if (update.IsEmpty())
    return;
  this->evacuations_sent_at = now;
  this->SendToAll(update);
}

void PeerLoads::SendPending() {
  PeerUpdate update = std::exchange(this->pending_update, {});
  if (EncodePeerUpdate(update).size() > kMaxDatagramBytes) {
    PeerUpdate loads;
    loads.loads = std::exchange(update.loads, {});
    this->SendToAll(loads);
  }
  this->SendToAll(update);
}

void PeerLoads::SendToAll(const PeerUpdate& update) {
  const auto bytes = EncodePeerUpdate(update);
  for (const udp::endpoint& peer : this->peers) {
    error_code error;
    // Send errors are ignored: datagrams may get lost on the network as well.
    this->socket->send_to(boost::asio::buffer(bytes), peer, 0, error);
    this->sent_datagrams.Add();
  }
}

void PeerLoads::Receive() {
  std::array<uint8_t, kMaxDatagramBytes> buffer;
  while (!this->stopping) {
    error_code error;
    udp::endpoint sender;
    const size_t size = this->socket->async_receive_from(
        boost::asio::buffer(buffer), sender, runtime::Await(error));
    if (error) {
      runtime::SleepFor(kErrorPause);
      continue;
    }
    this->received_datagrams.Add();
    const auto update = DecodePeerUpdate(buffer.data(), size);
    if (!update) {
      this->malformed_datagrams.Add();
      continue;
    }
    this->Apply(*update);
  }
}

void PeerLoads::Apply(const PeerUpdate& update) {
  const common::TimePoint now = runtime::BootNow();
  for (const SentPrompt& sent : update.prompts)
    this->dispatcher.OnPeerPrompt(sent.endpoint, sent.prompt);
  for (const EngineLoad& load : update.loads)
    this->dispatcher.OnPeerLoad(
        load.endpoint,
        {load.running, load.waiting, load.slots, load.work_percent / 100.0});
  for (const uint64_t endpoint : update.unreachable)
    this->dispatcher.OnPeerUnreachable(endpoint);
  for (const catalog::PeerEvacuation& evacuation : update.evacuations)
    this->view.OnPeerEvacuation(evacuation);
  for (const CacheStoreUsage& usage : update.stores) {
    this->cache_store_index.OnPeerTransfer(usage.store, usage.mbit, now);
    for (const uint32_t excess : usage.excess_ms)
      this->cache_store_index.OnPeerFetched(usage.store,
                                            std::chrono::milliseconds(excess));
  }
}

}  // namespace jujuberock::gateway
