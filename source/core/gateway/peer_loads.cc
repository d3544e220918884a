#include "core/gateway/peer_loads.h"

#include <algorithm>
#include <array>
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

// Prompts of this time share a datagram.
constexpr common::Duration kGatherTime = std::chrono::milliseconds(10);
// Shorter prompts take an engine less than a step or two.
constexpr int64_t kLeastTokens = 700;
constexpr size_t kMostPrompts = 60;
constexpr size_t kDatagramBytes = 1400;
constexpr common::Duration kErrorPause = std::chrono::milliseconds(50);

}  // namespace

std::vector<uint8_t> EncodeSentPrompts(const std::vector<SentPrompt>& prompts) {
  Json list = Json::array();
  for (const SentPrompt& prompt : prompts)
    list.push_back({prompt.endpoint, prompt.tokens});
  return Json::to_msgpack(list);
}

std::optional<std::vector<SentPrompt>> DecodeSentPrompts(const uint8_t* bytes,
                                                         size_t size) {
  const Json list = Json::from_msgpack(bytes, bytes + size, true, false);
  if (!list.is_array() || list.size() > kMostPrompts)
    return std::nullopt;
  std::vector<SentPrompt> prompts;
  for (const Json& item : list) {
    if (!item.is_array() || item.size() != 2 || !item[0].is_number_unsigned() ||
        !item[1].is_number_unsigned())
      return std::nullopt;
    prompts.push_back({item[0].get<uint64_t>(), item[1].get<uint32_t>()});
  }
  return prompts;
}

PeerLoads::PeerLoads(Dispatcher& dispatcher,
                     boost::asio::io_context& io,
                     const runtime::Address& address,
                     common::CounterRegistry& counters)
    : dispatcher(dispatcher),
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

void PeerLoads::OnSent(std::string_view endpoint, int64_t tokens) {
  if (tokens < kLeastTokens || this->queued.size() >= kMostPrompts)
    return;
  this->queued.push_back(
      {common::Hash64(endpoint), static_cast<uint32_t>(tokens)});
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

void PeerLoads::SendLoop() {
  while (!this->stopping) {
    runtime::SleepFor(kGatherTime);
    if (!this->queued.empty())
      this->SendQueued();
  }
}

void PeerLoads::SendQueued() {
  const auto bytes = EncodeSentPrompts(this->queued);
  this->queued.clear();
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
    const auto prompts = DecodeSentPrompts(buffer.data(), size);
    if (!prompts) {
      this->malformed_datagrams.Add();
      continue;
    }
    for (const SentPrompt& prompt : *prompts)
      this->dispatcher.OnPeerPrompt(prompt.endpoint, prompt.tokens);
  }
}

}  // namespace jujuberock::gateway
