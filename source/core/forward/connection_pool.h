#ifndef CORE_FORWARD_CONNECTION_POOL_H_
#define CORE_FORWARD_CONNECTION_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "core/common/metrics.h"
#include "core/common/time.h"
#include "core/runtime/carried_requests.h"
#include "core/runtime/http_types.h"

namespace jujuberock::forward {

// An HTTP/1.1 connection to an endpoint, used by one send at a time.
struct Connection {
  using Stream =
      boost::beast::basic_stream<boost::asio::ip::tcp,
                                 boost::asio::io_context::executor_type>;

  // Limit of buffered input, which bounds what an endpoint can make this host
  // hold: a head, or the size line of a chunk.
  static constexpr size_t kMaxBufferedBytes = 64 * 1024;

  explicit Connection(boost::asio::io_context& io) : stream(io) {}

  Stream stream;
  boost::beast::flat_buffer buffer{kMaxBufferedBytes};
  // Distinguishes the connections of a host in its log.
  uint64_t number = 0;
  runtime::CarriedRequests carried;
  common::TimePoint opened_at;
  common::TimePoint idle_since;
  // Closed after being idle for this long.
  common::Duration idle_limit{0};
  // Set when the connection was taken from the pool.
  bool reused = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

// What an endpoint's address says to a new connection.
enum class Reachability {
  kReachable,  // it accepts it
  kReset,      // it resets it: there are too many
  kRefused,    // nothing listens there any more
  kSilent,     // no answer in time: the endpoint or the way to it may be down
};

struct ConnectionPoolOptions {
  common::Duration connect_timeout = std::chrono::milliseconds(400);
  // Idle limit for endpoints that announce none.
  common::Duration idle_lifetime = std::chrono::seconds(3);
  // TCP_USER_TIMEOUT: the connection fails when sent bytes stay unacknowledged
  // for this long.
  common::Duration unacknowledged_timeout = std::chrono::milliseconds(2500);
  // Maximum idle connections per endpoint.
  size_t max_idle_per_endpoint = 24;
};

// Pool of idle connections by endpoint address. Not thread-safe: all calls are
// made on one worker.
class ConnectionPool {
 public:
  ConnectionPool(ConnectionPoolOptions options,
                 common::MetricRegistry& counters);

  // Returns an idle connection that has no unexpected input and has not carried
  // the request, or null.
  ConnectionPtr TakeIdle(const std::string& address,
                         std::string_view request_id,
                         common::TimePoint now);
  // Opens a new connection; suspends the calling fiber. Throws common::Error
  // kPeerUnavailable, in which case nothing was sent.
  ConnectionPtr Connect(const std::string& address);
  // Checks the idle connections to the endpoint, or opens a new one, which is
  // then kept. Suspends the calling fiber.
  Reachability Probe(const std::string& address);
  // Returns a connection to the pool, or closes it if there are enough or it
  // has carried as many requests as it may.
  void PutIdle(const std::string& address,
               ConnectionPtr connection,
               common::TimePoint now);
  // Closes the idle connections to one endpoint.
  void Drop(const std::string& address) { this->idle.erase(address); }
  // Closes the idle connections that were last used before `cutoff`. Called
  // when a connection of that age is dead, since others may be dead as well.
  void DropUsedBefore(common::TimePoint cutoff);
  // Closes connections that have exceeded their idle limit.
  void Expire(common::TimePoint now);

 private:
  // Opens `connection` to the address; suspends the calling fiber. Throws
  // common::Error if the address is invalid.
  boost::system::error_code Open(Connection& connection,
                                 const std::string& address);

  ConnectionPoolOptions options;
  common::Counter& opened;
  // Idle connections on which bytes arrived that belong to no request.
  common::Counter& with_input;
  // Idle connections that were not used because they had carried the request.
  common::Counter& passed_over;
  uint64_t last_number = 0;
  std::map<std::string, std::vector<ConnectionPtr>> idle;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_CONNECTION_POOL_H_
