#ifndef CORE_FORWARD_CONNECTION_POOL_H_
#define CORE_FORWARD_CONNECTION_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "core/common/counters.h"
#include "core/common/time.h"
#include "core/runtime/http_types.h"

namespace jujuberock::forward {

// A connection to an endpoint. Used by one send at a time.
struct Connection {
  using Stream =
      boost::beast::basic_stream<boost::asio::ip::tcp,
                                 boost::asio::io_context::executor_type>;

  explicit Connection(boost::asio::io_context& io) : stream(io) {}

  Stream stream;
  boost::beast::flat_buffer buffer;
  common::TimePoint opened_at;
  common::TimePoint idle_since;
  // Longest time that it may stay idle.
  common::Duration idle_limit{0};
  // Has carried a request before.
  bool reused = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

struct ConnectionPoolOptions {
  common::Duration connect_timeout = std::chrono::milliseconds(400);
  // Idle time when the endpoint states none.
  common::Duration idle_lifetime = std::chrono::seconds(3);
  // Time that sent bytes may stay unacknowledged before the connection counts
  // as lost.
  common::Duration unacknowledged_timeout = std::chrono::milliseconds(2500);
  // Idle connections kept to one endpoint.
  size_t idle_connections = 24;
};

// Kept connections to endpoints, by address. All calls are made on one worker.
class ConnectionPool {
 public:
  ConnectionPool(ConnectionPoolOptions options,
                 common::CounterRegistry& counters);

  // A kept connection that shows no input, or null.
  ConnectionPtr TakeIdle(const std::string& address, common::TimePoint now);
  // Suspends the calling fiber. Throws common::Error kPeerUnavailable; nothing
  // was sent then.
  ConnectionPtr Connect(const std::string& address);
  void Keep(const std::string& address,
            ConnectionPtr connection,
            common::TimePoint now);
  // Closes the idle connections to one endpoint.
  void Drop(const std::string& address) { this->idle.erase(address); }
  // Closes the idle connections that were last used before `moment`: one of
  // that age was found dead, and others may share its fate.
  void DropUsedBefore(common::TimePoint moment);
  // Closes what was idle for too long.
  void Expire(common::TimePoint now);

 private:
  ConnectionPoolOptions options;
  common::Counter& opened;
  std::map<std::string, std::vector<ConnectionPtr>> idle;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_CONNECTION_POOL_H_
