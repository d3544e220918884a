#ifndef PLATFORM_CODEC_H_
#define PLATFORM_CODEC_H_

#include "core/forward/types.h"

namespace jujuberock::platform_adapter {

// Decodes and encodes the header fields of the platform's HTTP requests and
// responses.
class PlatformCodec : public forward::Codec {
 public:
  std::string_view attempt_id_field() const override;
  forward::CallerRequest DecodeRequest(
      const runtime::HttpRequest& request) const override;
  runtime::HttpHeaders EncodeRequestHeaders(
      const forward::CallerRequest& request,
      const forward::SendParameters& parameters) const override;
  forward::ResponseHead DecodeResponseHead(
      int status,
      const runtime::HttpHeaders& headers) const override;
  void AddRetryAfter(runtime::HttpHeaders& headers,
                     common::Duration after) const override;
};

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_CODEC_H_
