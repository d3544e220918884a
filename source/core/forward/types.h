#ifndef CORE_FORWARD_TYPES_H_
#define CORE_FORWARD_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/catalog/endpoint_notice.h"
#include "core/common/time.h"
#include "core/dispatch/endpoint_record.h"
#include "core/dispatch/prompt.h"
#include "core/forward/shared_body.h"
#include "core/runtime/http_types.h"

namespace jujuberock::forward {

// A decoded request of a caller. `forwarded_headers` holds the header fields
// that are forwarded to endpoints unchanged; fields that the gateway sets
// itself are removed.
struct CallerRequest {
  std::string method;
  std::string target;
  std::string host;
  SharedBody body;
  runtime::HttpHeaders forwarded_headers;
  // Identifies this attempt of the caller.
  std::string attempt_id;
  std::string key;
  // Time until the caller stops waiting.
  std::optional<common::Duration> remaining;
  // Set if the caller takes up a stream that has broken off: the last event
  // that it has, and the attempt that brought the first one; empty if not
  // given.
  std::optional<std::string> last_event_id;
  std::string first_attempt;
  std::optional<dispatch::Prompt> prompt;
};

// Parameters that the gateway passes to an endpoint with one send.
struct SendParameters {
  // The intended endpoint. A different endpoint at the same address refuses the
  // request.
  std::string endpoint_id;
  common::Duration remaining{0};
  std::optional<std::string> team;
  std::optional<int> urgency;
  std::optional<std::string> cache_salt;
  std::optional<uint64_t> expected_version;
  // Sends that may run, for another host that sends the request.
  int64_t max_attempts = 1;
  // Overrides the caller's own value when a stream is resumed.
  std::optional<std::string> last_event_id;
  // For each part of the prompt, the cache store to read it from or to save it
  // to; empty where there is none.
  std::vector<std::string> cache_sources;
  std::vector<std::string> cache_targets;
  // Reads from a cache store that end after this time are discarded. In
  // milliseconds of the endpoints' clock.
  std::optional<uint64_t> cache_until_ms;
};

// The decoded head of an endpoint's response. `forwarded_headers` holds the
// header fields that are forwarded to the caller unchanged.
struct ResponseHead {
  int status = 0;
  runtime::HttpHeaders forwarded_headers;
  // The attempt that this responds to, if the endpoint says so.
  std::optional<std::string> attempt_id;
  // The endpoint confirms that it did not run the request.
  bool not_run = false;
  // The response carries the endpoint's signature. A success without it does
  // not count as the endpoint's.
  bool is_signed = false;
  // The body is encoded, which no caller asks for.
  bool is_encoded = false;
  // Callers take the status for a promise that the request has not run. Unless
  // `not_run` is set, the endpoint does not promise that.
  bool promises_not_run = false;
  catalog::EndpointNotice notice;
  std::optional<dispatch::LoadReport> load;
  std::optional<uint64_t> weight_version;
  // How long the endpoint keeps idle connections open.
  std::optional<common::Duration> keep_alive;
  // The endpoint asks to close the connection, because it is draining or
  // rebalances its load.
  bool closes_connection = false;
};

// Translates between the platform's HTTP conventions and the types above.
class Codec {
 public:
  virtual ~Codec() = default;

  // The header field of a caller's request that identifies the attempt.
  virtual std::string_view attempt_id_field() const = 0;
  // Leaves the body out, which the caller of this moves or copies.
  virtual CallerRequest DecodeRequest(
      const runtime::HttpRequest& request) const = 0;
  // Returns the header fields of a send, without those for body framing.
  virtual runtime::HttpHeaders EncodeRequestHeaders(
      const CallerRequest& request,
      const SendParameters& parameters) const = 0;
  virtual ResponseHead DecodeResponseHead(
      int status,
      const runtime::HttpHeaders& headers) const = 0;
  // Adds the header that tells a refused caller when to retry.
  virtual void AddRetryAfter(runtime::HttpHeaders& headers,
                             common::Duration after) const = 0;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_TYPES_H_
