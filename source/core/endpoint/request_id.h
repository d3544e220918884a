#ifndef CORE_ENDPOINT_REQUEST_ID_H_
#define CORE_ENDPOINT_REQUEST_ID_H_

namespace jujuberock::endpoint {

// Header field that names the request. Endpoints that repeat it in their
// responses can be sent several requests on one connection.
inline constexpr const char* kRequestIdField = "Jujuberock-Request-Id";

}  // namespace jujuberock::endpoint

#endif  // CORE_ENDPOINT_REQUEST_ID_H_
