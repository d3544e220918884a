#include "core/gateway/peer_loads.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/hash.h"
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
constexpr size_t kMaxPrompts = 32;
constexpr size_t kMaxStores = 14;
constexpr size_t kMaxExcessesPerStore = 4;
constexpr size_t kMaxUnreachable = 16;
constexpr size_t kMaxDatagramBytes = 1472;
constexpr common::Duration kErrorPause = std::chrono::milliseconds(50);

uint32_t ToClampedMilliseconds(common::Duration time) {
  const double ms = common::ToMilliseconds(time);
  return static_cast<uint32_t>(std::clamp(ms, 0.0, 60000.0));
}

bool StartsWithUnsignedNumbers(const Json& list, size_t count) {
  if (!list.is_array() || list.size() < count)
    return false;
  for (size_t i = 0; i < count; ++i) {
    if (!list[i].is_number_unsigned())
      return false;
  }
  return true;
}

// [endpoint, uncached tokens, memory tokens, run time in ms, is long]
std::optional<SentPrompt> DecodePrompt(const Json& item) {
  if (!StartsWithUnsignedNumbers(item, 5))
    return std::nullopt;
  SentPrompt sent;
  sent.endpoint = item[0].get<uint64_t>();
  sent.prompt.uncached_tokens = item[1].get<uint32_t>();
  sent.prompt.memory_tokens = item[2].get<uint32_t>();
  sent.prompt.run_time = std::chrono::milliseconds(item[3].get<uint32_t>());
  sent.prompt.is_long = item[4].get<uint32_t>() != 0;
  return sent;
}

// [store, Mbit, excess in ms...]
std::optional<CacheStoreUsage> DecodeStoreUsage(const Json& item) {
  if (!StartsWithUnsignedNumbers(item, 2) ||
      !StartsWithUnsignedNumbers(item, item.size()) ||
      item.size() > 2 + kMaxExcessesPerStore)
    return std::nullopt;
  CacheStoreUsage usage{item[0].get<uint64_t>(), item[1].get<uint32_t>(), {}};
  for (size_t i = 2; i < item.size(); ++i)
    usage.excess_ms.push_back(item[i].get<uint32_t>());
  return usage;
}

}  // namespace

std::vector<uint8_t> EncodePeerUpdate(const PeerUpdate& update) {
  Json prompts = Json::array();
  for (const SentPrompt& sent : update.prompts)
    prompts.push_back({sent.endpoint, sent.prompt.uncached_tokens,
                       sent.prompt.memory_tokens,
                       ToClampedMilliseconds(sent.prompt.run_time),
                       sent.prompt.is_long ? 1 : 0});
  Json stores = Json::array();
  for (const CacheStoreUsage& usage : update.stores) {
    Json item = {usage.store, usage.mbit};
    for (const uint32_t excess : usage.excess_ms)
      item.push_back(excess);
    stores.push_back(std::move(item));
  }
  return Json::to_msgpack(Json::array(
      {std::move(prompts), std::move(stores), Json(update.unreachable)}));
}

std::optional<PeerUpdate> DecodePeerUpdate(const uint8_t* bytes, size_t size) {
  const Json lists = Json::from_msgpack(bytes, bytes + size, true, false);
  if (!lists.is_array() || lists.size() != 3 || !lists[0].is_array() ||
      !lists[1].is_array() || lists[0].size() > kMaxPrompts ||
      lists[1].size() > kMaxStores || lists[2].size() > kMaxUnreachable ||
      !StartsWithUnsignedNumbers(lists[2], lists[2].size()))
    return std::nullopt;
  PeerUpdate update;
  for (const Json& item : lists[0]) {
    const auto sent = DecodePrompt(item);
    if (!sent)
      return std::nullopt;
    update.prompts.push_back(*sent);
  }
  for (const Json& item : lists[1]) {
    auto usage = DecodeStoreUsage(item);
    if (!usage)
      return std::nullopt;
    update.stores.push_back(std::move(*usage));
  }
  for (const Json& hash : lists[2])
    update.unreachable.push_back(hash.get<uint64_t>());
  return update;
}

PeerLoads::PeerLoads(Dispatcher& dispatcher,
                     reuse::CacheStoreIndex& cache_store_index,
                     boost::asio::io_context& io,
                     const runtime::Address& address,
                     common::MetricRegistry& counters)
    : dispatcher(dispatcher),
      cache_store_index(cache_store_index),
      sent_datagrams(counters.GetCounter("peer_datagrams_sent_total")),
      received_datagrams(counters.GetCounter("peer_datagrams_received_total")),
      malformed_datagrams(
          counters.GetCounter("peer_datagrams_malformed_total")) {
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
  }
}

void PeerLoads::SendPending() {
  const auto bytes = EncodePeerUpdate(this->pending_update);
  this->pending_update = {};
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
  for (const uint64_t endpoint : update.unreachable)
    this->dispatcher.OnPeerUnreachable(endpoint);
  for (const CacheStoreUsage& usage : update.stores) {
    this->cache_store_index.OnPeerTransfer(usage.store, usage.mbit, now);
    for (const uint32_t excess : usage.excess_ms)
      this->cache_store_index.OnPeerFetched(usage.store,
                                            std::chrono::milliseconds(excess));
  }
}

}  // namespace jujuberock::gateway
