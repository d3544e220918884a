#ifndef CORE_FORWARD_ENDPOINT_SEND_H_
#define CORE_FORWARD_ENDPOINT_SEND_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "core/common/name_table.h"
#include "core/common/time.h"
#include "core/forward/connection_pool.h"
#include "core/forward/types.h"

namespace jujuberock::forward {

// Why a send failed.
enum class SendFailure {
  kNotConnected,  // nothing was sent
  kBroken,        // the connection closed before the end of the response
  kTimeout,       // the deadline passed
  kMalformed,     // the endpoint sent no valid response to the request
  kCanceled,      // Cancel() was called
  kStalled,       // bytes may arrive, but the response makes no progress
};

inline constexpr common::NameTable<SendFailure, 6> kSendFailureNames(
    {"not_connected", "broken", "timeout", "malformed", "canceled", "stalled"});

// What marks the end of a response's body.
enum class Framing { kNone, kLength, kChunks, kConnection };

inline constexpr common::NameTable<Framing, 4> kFramingNames({"none", "length",
                                                              "chunks",
                                                              "connection"});

// What became of the connection of a send.
enum class ConnectionEnd {
  kOpen,    // in use, or kept for the next send
  kPeer,    // the endpoint closed it in order
  kBroken,  // it was reset, fell silent or carried a malformed response
  kHost,    // this host closed it
};

inline constexpr common::NameTable<ConnectionEnd, 4> kConnectionEndNames(
    {"open", "peer", "broken", "host"});

// The connection that a send has used.
struct ConnectionUse {
  // Of the connection on this host; 0 if there was none.
  uint64_t number = 0;
  // Requests that it had carried before.
  size_t earlier_requests = 0;
  // Whether the same request was among them, so that a copy of the response to
  // it can't be told from the response to this send.
  bool carried_request = false;
};

// A response that came in place of the one to the request, and was discarded.
struct StrayResponse {
  int status = 0;
  // The attempt that it responds to.
  std::string attempt_id;
};

class SendError : public std::runtime_error {
 public:
  SendError(SendFailure failure, const std::string& detail)
      : std::runtime_error(detail), kind(failure) {}
  SendFailure failure() const { return this->kind; }

 private:
  SendFailure kind;
};

// Sends a request to one endpoint once and reads the response. Open() and
// Read() are called from one fiber; Cancel() may be called from another fiber
// of the same worker. Destroying the object before the end of the response
// closes the connection, which tells the endpoint to stop.
class EndpointSend {
 public:
  EndpointSend(ConnectionPool& pool, const Codec& codec, std::string address);
  ~EndpointSend();
  EndpointSend(const EndpointSend&) = delete;
  EndpointSend& operator=(const EndpointSend&) = delete;

  // Sends the request and returns the head of the response. Stale responses to
  // earlier requests on the connection are discarded. Throws SendError.
  ResponseHead Open(const CallerRequest& request,
                    const SendParameters& parameters,
                    common::TimePoint deadline);
  // Throws SendError if the head does not count as the endpoint's answer. What
  // it says of the endpoint holds all the same, so the caller takes that first.
  void CheckUsable() const;
  // Returns the next bytes of the body, or nullopt at its end. Throws
  // SendError, also when the response was truncated.
  std::optional<std::string> Read();
  // Makes Read() fail with kStalled from now + `limit` on, until the next call.
  void ExpectProgressWithin(common::Duration limit);
  // Reads the rest of a body that is of no use, so that the connection can be
  // reused. Closes the connection instead if the rest is too long or too slow.
  void Discard();
  Framing framing() const { return this->body_framing; }
  // Bytes of the body that were read so far, without chunk headers.
  uint64_t body_bytes() const { return this->read_bytes; }
  ConnectionEnd connection_end() const { return this->end; }
  const ConnectionUse& connection_use() const { return this->use; }
  const std::vector<StrayResponse>& stray_responses() const {
    return this->strays;
  }
  // Whether the end of the connection is the end of the body, because the
  // response declares no length.
  bool ends_with_connection() const {
    return this->body_framing == Framing::kConnection;
  }
  // Makes a pending Open() or Read() fail with kCanceled.
  void Cancel();

  // Whether bytes of the request may have reached the endpoint.
  bool sent() const { return this->was_sent; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  // Writes a long body while the response is being read.
  struct BackgroundWrite;

  void Connect();
  // Records that the connection carries the request.
  void RecordUse();
  void Write(const CallerRequest& request, const SendParameters& parameters);
  ResponseHead ReadHead();
  std::optional<std::string> ReadChunk();
  // Reads to the end of the body. Returns false once this send has read too
  // many bytes that are of no use.
  bool SkipBody();
  // Ends the write of the body and closes the connection. Returns the error
  // that the write met if that shows that the connection has broken. The kernel
  // reports a reset to one call only: if the write was first, a read finds the
  // end of the connection, as after an orderly close.
  boost::system::error_code StopWriting();
  // Throws if the end of the connection is not that of the response's body.
  void CheckOrderlyEnd();
  // Throws if the response can't belong to the request.
  void CheckIdentified() const;
  void ResetParser();
  void SetExpiry();
  void Finish();
  [[noreturn]] void Fail(const boost::system::error_code& error,
                         const char* step);

  ConnectionPool& pool;
  const Codec& codec;
  std::string address;
  ConnectionPtr connection;
  std::unique_ptr<Parser> parser;
  std::shared_ptr<BackgroundWrite> background;
  std::string attempt_id;
  ResponseHead head;
  ConnectionUse use;
  std::vector<StrayResponse> strays;
  common::TimePoint deadline;
  std::optional<common::TimePoint> progress_deadline;
  size_t skipped_bytes = 0;
  Framing body_framing = Framing::kNone;
  uint64_t read_bytes = 0;
  ConnectionEnd end = ConnectionEnd::kOpen;
  bool is_head_method = false;
  bool was_sent = false;
  bool reused = false;
  bool canceled = false;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_ENDPOINT_SEND_H_
