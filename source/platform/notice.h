#ifndef PLATFORM_NOTICE_H_
#define PLATFORM_NOTICE_H_

#include "core/catalog/endpoint_notice.h"
#include "core/runtime/http_types.h"

namespace jujuberock::platform_adapter {

// Decodes what an endpoint says about itself in the head of a response. A
// response of another endpoint than the intended one says nothing.
catalog::EndpointNotice DecodeNotice(int status,
                                     const runtime::HttpHeaders& headers);

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_NOTICE_H_
