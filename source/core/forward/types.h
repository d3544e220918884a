#ifndef CORE_FORWARD_TYPES_H_
#define CORE_FORWARD_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/time.h"
#include "core/dispatch/endpoint_record.h"
#include "core/dispatch/prompt.h"
#include "core/runtime/http_types.h"

namespace jujuberock::forward {

// A caller's request, decoded once. `passed_on` holds the header fields that
// endpoints get as the caller sent them; everything the system sets itself was
// taken out.
struct CallerRequest {
  std::string method;
  std::string target;
  std::string host;
  std::string body;
  runtime::HttpHeaders passed_on;
  // Names this one attempt of the caller.
  std::string attempt_id;
  std::string key;
  // Time that the caller still waits.
  std::optional<common::Duration> remaining;
  std::optional<std::string> last_event_id;
  std::optional<dispatch::Prompt> prompt;
};

// What the system tells an endpoint about one send.
struct SendOrder {
  // The endpoint that is meant; another one at its address refuses.
  std::string endpoint_id;
  common::Duration remaining{0};
  std::optional<std::string> team;
  std::optional<int> urgency;
  std::optional<std::string> cache_salt;
  std::optional<uint64_t> expected_version;
  // Replaces the caller's own when a stream goes on.
  std::optional<std::string> last_event_id;
  // For each part of the prompt the store to read it from or to save it to;
  // empty where there is none.
  std::vector<std::string> cache_sources;
  std::vector<std::string> cache_targets;
  // Reads from a store that end later are thrown away, in milliseconds of the
  // endpoints' clock.
  std::optional<uint64_t> cache_until_ms;
};

// The head of an endpoint's answer. `passed_on` goes to the caller unchanged.
struct AnswerHead {
  int status = 0;
  runtime::HttpHeaders passed_on;
  // The attempt that it answers, where it says so.
  std::optional<std::string> attempt_id;
  // The endpoint states that it did not run the request.
  bool not_run = false;
  // Carries the endpoint's signature.
  bool is_signed = false;
  std::optional<dispatch::LoadReport> load;
  std::optional<uint64_t> weight_version;
  // How long the endpoint keeps the connection idle.
  std::optional<common::Duration> keep_alive;
  // The endpoint closes connections: it is leaving, or balances its load.
  bool closes = false;
};

// Translates between the HTTP of the platform and the types above.
class Codec {
 public:
  virtual ~Codec() = default;

  virtual CallerRequest DecodeRequest(
      const runtime::HttpRequest& request) const = 0;
  // The header fields of a send, without body framing.
  virtual runtime::HttpHeaders EncodeSend(const CallerRequest& request,
                                          const SendOrder& order) const = 0;
  virtual AnswerHead DecodeAnswer(
      int status,
      const runtime::HttpHeaders& headers) const = 0;
  // A refusal's hint when to come back.
  virtual void AddRetryAfter(runtime::HttpHeaders& headers,
                             common::Duration after) const = 0;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_TYPES_H_
