#include "core/forward/connection_pool.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>

#include "core/common/error.h"
#include "core/runtime/await.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::forward {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using common::Error;
using common::ResultCode;

// What can be read from a connection that no request uses.
enum class IdleInput {
  kNone,
  kBytes,  // they belong to no request
  kEnd,    // it was closed or has failed
};

IdleInput InputOf(Connection& connection) {
  if (connection.buffer.size() > 0)
    return IdleInput::kBytes;
  char byte;
  const int handle = connection.stream.socket().native_handle();
  const ssize_t bytes =
      ::recv(handle, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (bytes > 0)
    return IdleInput::kBytes;
  const bool is_open = bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return is_open ? IdleInput::kNone : IdleInput::kEnd;
}

void SetUserTimeout(Connection& connection, common::Duration timeout) {
  const auto ms = static_cast<unsigned int>(timeout.count() / 1000);
  // Best effort: if this fails, only request timeouts detect a dead connection.
  ::setsockopt(connection.stream.socket().native_handle(), IPPROTO_TCP,
               TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

}  // namespace

ConnectionPool::ConnectionPool(ConnectionPoolOptions options,
                               common::MetricRegistry& counters)
    : options(options),
      opened(counters.GetCounter("endpoint_connections_opened_total")),
      with_input(counters.GetCounter("endpoint_connections_with_input_total")),
      passed_over(
          counters.GetCounter("endpoint_connections_passed_over_total")) {}

ConnectionPtr ConnectionPool::TakeIdle(const std::string& address,
                                       std::string_view request_id,
                                       common::TimePoint now) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end())
    return nullptr;
  auto& idle_list = found->second;
  for (size_t i = idle_list.size(); i-- > 0;) {
    const ConnectionPtr connection = idle_list[i];
    const bool is_within_limit =
        now - connection->idle_since < connection->idle_limit;
    const IdleInput input = InputOf(*connection);
    const bool is_sound = is_within_limit && input == IdleInput::kNone;
    if (is_sound && connection->carried.Contains(request_id)) {
      this->passed_over.Add();
      continue;
    }
    idle_list.erase(idle_list.begin() + static_cast<ptrdiff_t>(i));
    if (input == IdleInput::kBytes)
      this->with_input.Add();
    if (is_sound) {
      connection->reused = true;
      return connection;
    }
  }
  return nullptr;
}

ConnectionPtr ConnectionPool::Connect(const std::string& address) {
  auto connection = std::make_shared<Connection>(runtime::CurrentIoContext());
  if (const error_code error = this->Open(*connection, address))
    throw Error(ResultCode::kPeerUnavailable,
                "connect to " + address + ": " + error.message());
  return connection;
}

error_code ConnectionPool::Open(Connection& connection,
                                const std::string& address) {
  const auto parsed = runtime::Address::Parse(address);
  if (!parsed)
    throw Error(ResultCode::kPeerUnavailable,
                "invalid endpoint address: " + address);
  error_code error;
  const auto ip = boost::asio::ip::make_address(parsed->ip, error);
  if (error)
    throw Error(ResultCode::kPeerUnavailable, "invalid IP address: " + address);
  this->opened.Add();
  connection.number = ++this->last_number;
  connection.stream.expires_after(this->options.connect_timeout);
  connection.stream.async_connect(tcp::endpoint(ip, parsed->port),
                                  runtime::Await(error));
  if (error)
    return error;
  error_code ignored;
  connection.stream.socket().set_option(tcp::no_delay(true), ignored);
  SetUserTimeout(connection, this->options.unacknowledged_timeout);
  connection.opened_at = runtime::BootNow();
  return {};
}

Reachability ConnectionPool::Probe(const std::string& address) {
  // An idle connection that is open proves nothing: it may have gone silent.
  auto connection = std::make_shared<Connection>(runtime::CurrentIoContext());
  const error_code error = this->Open(*connection, address);
  if (error == boost::asio::error::connection_refused)
    return Reachability::kRefused;
  if (error == boost::asio::error::connection_reset)
    return Reachability::kReset;
  if (error)
    return Reachability::kSilent;
  this->PutIdle(address, std::move(connection), runtime::BootNow());
  return Reachability::kReachable;
}

void ConnectionPool::PutIdle(const std::string& address,
                             ConnectionPtr connection,
                             common::TimePoint now) {
  if (connection->carried.IsFull())
    return;
  auto& idle_list = this->idle[address];
  if (idle_list.size() >= this->options.max_idle_per_endpoint)
    return;
  connection->stream.expires_never();
  connection->idle_since = now;
  if (connection->idle_limit == common::Duration(0))
    connection->idle_limit = this->options.idle_lifetime;
  idle_list.push_back(std::move(connection));
}

void ConnectionPool::DropUsedBefore(common::TimePoint cutoff) {
  for (auto& [address, idle_list] : this->idle) {
    std::erase_if(idle_list, [&](const ConnectionPtr& connection) {
      return connection->idle_since < cutoff;
    });
  }
}

void ConnectionPool::Expire(common::TimePoint now) {
  for (auto it = this->idle.begin(); it != this->idle.end();) {
    std::erase_if(it->second, [&](const ConnectionPtr& connection) {
      return now - connection->idle_since >= connection->idle_limit;
    });
    it = it->second.empty() ? this->idle.erase(it) : std::next(it);
  }
}

}  // namespace jujuberock::forward
