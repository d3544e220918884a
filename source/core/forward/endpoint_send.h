#ifndef CORE_FORWARD_ENDPOINT_SEND_H_
#define CORE_FORWARD_ENDPOINT_SEND_H_

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "core/common/name_table.h"
#include "core/common/time.h"
#include "core/forward/connection_pool.h"
#include "core/forward/types.h"

namespace jujuberock::forward {

// How a send failed.
enum class SendFailure {
  kNotConnected,  // nothing was sent
  kBroken,        // the connection ended too early
  kTimeout,       // the deadline passed
  kMalformed,     // the endpoint sent what is no answer to the request
  kCanceled,      // Cancel() was called
};

inline constexpr common::NameTable<SendFailure, 5> kSendFailureNames(
    {"not_connected", "broken", "timeout", "malformed", "canceled"});

class SendError : public std::runtime_error {
 public:
  SendError(SendFailure failure, const std::string& detail)
      : std::runtime_error(detail), kind(failure) {}
  SendFailure failure() const { return this->kind; }

 private:
  SendFailure kind;
};

// One send of a request to one endpoint. Open() and Read() are called from one
// fiber; Cancel() may be called from another of the same worker. Destroying it
// before the end of the answer closes the connection, which tells the endpoint
// to stop.
class EndpointSend {
 public:
  EndpointSend(ConnectionPool& pool, const Codec& codec, std::string address);
  ~EndpointSend();
  EndpointSend(const EndpointSend&) = delete;
  EndpointSend& operator=(const EndpointSend&) = delete;

  // Sends the request and returns the head of its answer. Answers to earlier
  // requests that arrive first are dropped. Throws SendError.
  AnswerHead Open(const CallerRequest& request,
                  const SendOrder& order,
                  common::TimePoint deadline);
  // The next bytes of the body, or nothing at its regular end. Throws
  // SendError; an answer that was cut short never ends regularly.
  std::optional<std::string> Read();
  // Ends a pending Open() or Read() with kCanceled.
  void Cancel();

  // Whether bytes of the request may have reached the endpoint.
  bool sent() const { return this->was_sent; }
  bool used_kept_connection() const { return this->reused; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  // Writes a long body while the answer is read already.
  struct BackgroundWrite;

  void Connect();
  void Write(const CallerRequest& request, const SendOrder& order);
  AnswerHead ReadHead();
  std::optional<std::string> ReadPiece();
  void SkipBody();
  void ResetParser();
  void SetExpiry();
  void Finish();
  [[noreturn]] void Fail(const boost::system::error_code& error,
                         const char* step) const;

  ConnectionPool& pool;
  const Codec& codec;
  std::string address;
  ConnectionPtr connection;
  std::unique_ptr<Parser> parser;
  std::shared_ptr<BackgroundWrite> background;
  std::string attempt_id;
  AnswerHead head;
  common::TimePoint deadline;
  bool is_head_method = false;
  bool was_sent = false;
  bool reused = false;
  bool canceled = false;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_ENDPOINT_SEND_H_
