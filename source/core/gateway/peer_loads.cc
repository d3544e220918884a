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

// News of this time share a datagram; longer where there are many hosts, so
// that the datagrams of a host do not grow with their number.
constexpr common::Duration kLeastGatherTime = std::chrono::milliseconds(12);
constexpr double kMostDatagramsPerSecond = 2000;
// A full datagram is sent at once; together these fit into kDatagramBytes.
constexpr size_t kMostPrompts = 40;
constexpr size_t kMostStores = 20;
constexpr size_t kMostExcesses = 4;
constexpr size_t kMostLost = 16;
constexpr size_t kDatagramBytes = 1472;
constexpr common::Duration kErrorPause = std::chrono::milliseconds(50);

uint32_t Milliseconds(common::Duration time) {
  const double ms = common::ToMilliseconds(time);
  return static_cast<uint32_t>(std::clamp(ms, 0.0, 60000.0));
}

bool AreNumbers(const Json& list, size_t count) {
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
  if (!AreNumbers(item, 5))
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
std::optional<StoreUse> DecodeStoreUse(const Json& item) {
  if (!AreNumbers(item, 2) || !AreNumbers(item, item.size()) ||
      item.size() > 2 + kMostExcesses)
    return std::nullopt;
  StoreUse use{item[0].get<uint64_t>(), item[1].get<uint32_t>(), {}};
  for (size_t i = 2; i < item.size(); ++i)
    use.excess_ms.push_back(item[i].get<uint32_t>());
  return use;
}

}  // namespace

std::vector<uint8_t> EncodeNews(const PeerNews& news) {
  Json prompts = Json::array();
  for (const SentPrompt& sent : news.prompts)
    prompts.push_back(
        {sent.endpoint, sent.prompt.uncached_tokens, sent.prompt.memory_tokens,
         Milliseconds(sent.prompt.run_time), sent.prompt.is_long ? 1 : 0});
  Json stores = Json::array();
  for (const StoreUse& use : news.stores) {
    Json item = {use.store, use.mbit};
    for (const uint32_t excess : use.excess_ms)
      item.push_back(excess);
    stores.push_back(std::move(item));
  }
  return Json::to_msgpack(
      Json::array({std::move(prompts), std::move(stores), Json(news.lost)}));
}

std::optional<PeerNews> DecodeNews(const uint8_t* bytes, size_t size) {
  const Json lists = Json::from_msgpack(bytes, bytes + size, true, false);
  if (!lists.is_array() || lists.size() != 3 || !lists[0].is_array() ||
      !lists[1].is_array() || lists[0].size() > kMostPrompts ||
      lists[1].size() > kMostStores || lists[2].size() > kMostLost ||
      !AreNumbers(lists[2], lists[2].size()))
    return std::nullopt;
  PeerNews news;
  for (const Json& item : lists[0]) {
    const auto sent = DecodePrompt(item);
    if (!sent)
      return std::nullopt;
    news.prompts.push_back(*sent);
  }
  for (const Json& item : lists[1]) {
    auto use = DecodeStoreUse(item);
    if (!use)
      return std::nullopt;
    news.stores.push_back(std::move(*use));
  }
  for (const Json& hash : lists[2])
    news.lost.push_back(hash.get<uint64_t>());
  return news;
}

PeerLoads::PeerLoads(Dispatcher& dispatcher,
                     reuse::StoreBook& stores,
                     boost::asio::io_context& io,
                     const runtime::Address& address,
                     common::CounterRegistry& counters)
    : dispatcher(dispatcher),
      stores(stores),
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
  this->queued.prompts.push_back({common::Hash64(endpoint), prompt});
  if (this->queued.prompts.size() >= kMostPrompts)
    this->SendQueued();
}

StoreUse& PeerLoads::UseOf(std::string_view store) {
  const uint64_t hash = common::Hash64(store);
  for (StoreUse& use : this->queued.stores) {
    if (use.store == hash)
      return use;
  }
  if (this->queued.stores.size() >= kMostStores)
    this->SendQueued();
  return this->queued.stores.emplace_back(StoreUse{hash, 0, {}});
}

void PeerLoads::OnTransfer(const reuse::StoreTransfer& transfer) {
  this->UseOf(transfer.store).mbit +=
      static_cast<uint32_t>(std::lround(transfer.mbit));
}

void PeerLoads::OnFetched(std::string_view store, common::Duration excess) {
  StoreUse& use = this->UseOf(store);
  if (use.excess_ms.size() < kMostExcesses)
    use.excess_ms.push_back(Milliseconds(excess));
}

void PeerLoads::OnLost(std::string_view endpoint) {
  if (this->queued.lost.size() < kMostLost)
    this->queued.lost.push_back(common::Hash64(endpoint));
}

void PeerLoads::Start() {
  runtime::SpawnHere([this] { this->Receive(); });
  runtime::SpawnHere([this] { this->SendLoop(); });
}

void PeerLoads::Stop() {
  this->stopping = true;
  error_code ignored;
  this->socket->cancel(ignored);
}

common::Duration GatherTime(size_t peers) {
  const double seconds = static_cast<double>(peers) / kMostDatagramsPerSecond;
  return std::max(kLeastGatherTime, common::FromSeconds(seconds));
}

void PeerLoads::SendLoop() {
  while (!this->stopping) {
    runtime::SleepFor(GatherTime(this->peers.size()));
    if (!this->queued.IsEmpty())
      this->SendQueued();
  }
}

void PeerLoads::SendQueued() {
  const auto bytes = EncodeNews(this->queued);
  this->queued = {};
  for (const udp::endpoint& peer : this->peers) {
    error_code error;
    // A datagram that can not be sent now is lost, as others are on the way.
    this->socket->send_to(boost::asio::buffer(bytes), peer, 0, error);
    this->sent_datagrams.Add();
  }
}

void PeerLoads::Receive() {
  std::array<uint8_t, kDatagramBytes> buffer;
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
    const auto news = DecodeNews(buffer.data(), size);
    if (!news) {
      this->malformed_datagrams.Add();
      continue;
    }
    this->Take(*news);
  }
}

void PeerLoads::Take(const PeerNews& news) {
  const common::TimePoint now = runtime::BootNow();
  for (const SentPrompt& sent : news.prompts)
    this->dispatcher.OnPeerPrompt(sent.endpoint, sent.prompt);
  for (const uint64_t endpoint : news.lost)
    this->dispatcher.OnPeerLost(endpoint);
  for (const StoreUse& use : news.stores) {
    this->stores.OnPeerTransfer(use.store, use.mbit, now);
    for (const uint32_t excess : use.excess_ms)
      this->stores.OnPeerFetched(use.store, std::chrono::milliseconds(excess));
  }
}

}  // namespace jujuberock::gateway
