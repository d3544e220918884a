#include "core/handover/peer_codec.h"

#include <catch2/catch.hpp>

#include "platform/codec.h"

namespace jujuberock::handover {
namespace {

using platform_adapter::PlatformCodec;
using std::chrono::milliseconds;

constexpr uint64_t kConfigVersion = 7;

runtime::HttpRequest CallersRequest() {
  runtime::HttpRequest request;
  request.method = "POST";
  request.target = "/path/1";
  request.headers = {{"Host", "h"},
                     {"X-Attempt-Id", "a1"},
                     {"X-Key", "secret"},
                     {"X-Deadline-Remaining", "5000"},
                     {"Last-Event-Id", "12"},
                     {"Resumes", "a0"},
                     {"X-Model", "m"},
                     {"X-Token-Count", "100,10"},
                     {"X-Tenant", "forged"},
                     {"jujuberock-key", "forged"},
                     {"Jujuberock-Refusal", "host"}};
  return request;
}

// The request as the other host receives it.
runtime::HttpRequest HandOver(const PeerCodec& codec) {
  const PlatformCodec platform;
  forward::CallerRequest request = platform.DecodeRequest(CallersRequest());
  request.attempt_id = "host-1.4";
  forward::SendParameters parameters;
  parameters.remaining = milliseconds(4000);
  parameters.max_attempts = 2;
  runtime::HttpRequest sent;
  sent.method = request.method;
  sent.target = request.target;
  sent.headers = codec.EncodeRequestHeaders(request, parameters);
  return sent;
}

// Guards against a request that changes, or gains time or rights, on its way
// over another host.
TEST_CASE("a request arrives at the other host as the caller sent it") {
  const PlatformCodec platform;
  const PeerCodec codec(platform, kConfigVersion);
  const auto handed_over = codec.DecodeHandedOver(HandOver(codec));
  REQUIRE(handed_over);
  CHECK(handed_over->send_id == "host-1.4");
  CHECK(handed_over->config_version == kConfigVersion);
  CHECK(handed_over->max_attempts == 2);
  const forward::CallerRequest& request = handed_over->request;
  CHECK(request.attempt_id == "a1");
  CHECK(request.host == "h");
  CHECK(request.key == "secret");
  CHECK(request.remaining == milliseconds(4000));
  CHECK(request.last_event_id == "12");
  CHECK(request.first_attempt == "a0");
  REQUIRE(request.prompt);
  CHECK(request.prompt->model == "m");
  for (const auto& field : request.forwarded_headers.all()) {
    INFO(field.name);
    CHECK(field.value != "forged");
    CHECK(field.name.substr(0, 10) != "Jujuberock");
  }
}

// Guards against requests that name no sender: a caller's, which may not come
// this way.
TEST_CASE("a request that does not come from a host is not taken over") {
  const PlatformCodec platform;
  const PeerCodec codec(platform);
  CHECK_FALSE(codec.DecodeHandedOver(CallersRequest()));
  runtime::HttpRequest malformed = HandOver(codec);
  malformed.headers.Set("Jujuberock-Config-Version", "seven");
  CHECK_FALSE(codec.DecodeHandedOver(malformed));
}

forward::ResponseHead Receive(const PeerCodec& codec,
                              int status,
                              runtime::HttpHeaders headers,
                              const Reply& reply) {
  SetReply(headers, "host-1.4", reply);
  return codec.DecodeResponseHead(status, headers);
}

// Guards against a refusal that is taken for that of another send, and against
// promises that an endpoint has made for another host.
TEST_CASE("only a refusal of the other host says that a request has not run") {
  const PlatformCodec platform;
  const PeerCodec codec(platform);
  const runtime::HttpHeaders of_endpoint = {{"X-Attempt-Id", "a1"},
                                            {"X-Server-Stamp", "s"},
                                            {"X-Not-Executed", "1"},
                                            {"Jujuberock-Refusal", "host"},
                                            {"Jujuberock-Send", "other"}};
  forward::ResponseHead head = Receive(codec, 503, of_endpoint, {});
  CHECK(head.attempt_id == "host-1.4");
  CHECK_FALSE(head.not_run);
  CHECK(head.promises_not_run);
  CHECK_FALSE(TakeReply(head).refusal);

  // Not even a refusal counts that names no send.
  head = codec.DecodeResponseHead(503, {{"Jujuberock-Refusal", "host"}});
  CHECK_FALSE(head.not_run);

  head = Receive(codec, 503, {}, {Refusal::kService, {}});
  CHECK(head.not_run);
  CHECK(TakeReply(head).refusal == Refusal::kService);
  CHECK(head.forwarded_headers.all().empty());
}

// Guards against sending to an endpoint whose leaving this host has passed on.
TEST_CASE("an answer names its endpoint to the host that passes it on") {
  const PlatformCodec platform;
  const PeerCodec codec(platform);
  const Reply sent{{}, AnsweringEndpoint{"i-1,x", 1234}};
  forward::ResponseHead head = Receive(
      codec, 200, {{"X-Server-Stamp", "s"}, {"Server-Leaving", "1"}}, sent);
  CHECK(head.is_signed);
  CHECK(head.notice.is_leaving);
  const Reply reply = TakeReply(head);
  REQUIRE(reply.endpoint);
  CHECK(reply.endpoint->id == "i-1,x");
  CHECK(reply.endpoint->started_at_ms == 1234);
}

}  // namespace
}  // namespace jujuberock::handover
