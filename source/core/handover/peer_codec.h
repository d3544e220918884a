#ifndef CORE_HANDOVER_PEER_CODEC_H_
#define CORE_HANDOVER_PEER_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/name_table.h"
#include "core/forward/types.h"

namespace jujuberock::handover {

// Why a host does not serve a request that another host has handed over to it.
enum class Refusal {
  kHost,     // the host can't; another one may
  kService,  // the endpoints can't, so no host can
};

inline constexpr common::NameTable<Refusal, 2> kRefusalNames({"host",
                                                              "service"});

// A request that another host has handed over.
struct HandedOver {
  forward::CallerRequest request;
  // Identifies this send; the response repeats it.
  std::string send_id;
  // Version of the sending host's configuration, by which it has checked the
  // request.
  uint64_t config_version = 0;
  // Sends of it that may run.
  int64_t max_attempts = 1;
};

// An endpoint that has answered a request that was handed over.
struct AnsweringEndpoint {
  std::string id;
  uint64_t started_at_ms = 0;
};

// What a response between hosts says beside the answer to the caller.
struct Reply {
  // Set if the request has not run.
  std::optional<Refusal> refusal;
  std::optional<AnsweringEndpoint> endpoint;
};

// Requests between hosts: those of the caller, with fields that say what the
// sending host knows of them. A response names the send that it answers, so it
// can't be taken for one to an earlier send of the same request. Takes over
// everything else from the codec of the platform.
class PeerCodec : public forward::Codec {
 public:
  // `config_version` is only needed to send.
  explicit PeerCodec(const forward::Codec& platform,
                     uint64_t config_version = 0)
      : platform(platform), config_version(config_version) {}

  std::string_view attempt_id_field() const override;
  forward::CallerRequest DecodeRequest(
      const runtime::HttpRequest& request) const override;
  // The request's attempt id is the id of the send.
  runtime::HttpHeaders EncodeRequestHeaders(
      const forward::CallerRequest& request,
      const forward::SendParameters& parameters) const override;
  // The attempt id is that of the send. The fields between hosts are still
  // among those to be forwarded; TakeReply() removes them.
  forward::ResponseHead DecodeResponseHead(
      int status,
      const runtime::HttpHeaders& headers) const override;
  void AddRetryAfter(runtime::HttpHeaders& headers,
                     common::Duration after) const override;

  // Returns nothing if the request does not come from a host.
  std::optional<HandedOver> DecodeHandedOver(
      const runtime::HttpRequest& request) const;

 private:
  const forward::Codec& platform;
  uint64_t config_version;
};

// Sets the fields between hosts of a response, in place of any that an endpoint
// has sent.
void SetReply(runtime::HttpHeaders& headers,
              const std::string& send_id,
              const Reply& reply);
// Removes the fields between hosts from the response.
Reply TakeReply(forward::ResponseHead& head);

}  // namespace jujuberock::handover

#endif  // CORE_HANDOVER_PEER_CODEC_H_
