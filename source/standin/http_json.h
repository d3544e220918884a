#ifndef STANDIN_HTTP_JSON_H_
#define STANDIN_HTTP_JSON_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/runtime/http_server.h"
#include "core/runtime/http_types.h"

namespace jujuberock::standin {

// A parsed request target. Path segments contain no slashes.
struct Target {
  std::vector<std::string> segments;
  std::map<std::string, std::string> query;

  // Returns the value of a numeric query field, or `fallback` if it is absent.
  // Throws common::Error kMalformedRequest if the value is not a number.
  uint64_t NumberOr(const std::string& field, uint64_t fallback) const;
};

Target ParseTarget(std::string_view text);

// Parses an unsigned decimal number. Throws common::Error kMalformedRequest.
uint64_t ParseNumber(std::string_view text);

// Parses the request's body as a JSON object; an empty body yields an empty
// object. Throws common::Error kMalformedRequest if it is anything else.
nlohmann::json ParseBody(const runtime::HttpRequest& request);

void SendJson(runtime::ResponseWriter& writer,
              int status,
              const nlohmann::json& body);
// Sends text that is meant to be JSON, but is not checked.
void SendJsonText(runtime::ResponseWriter& writer,
                  int status,
                  std::string text);

// Aborts the request: throws common::Error kCanceled, so that the server closes
// the connection without a (complete) response.
[[noreturn]] void DropConnection();

}  // namespace jujuberock::standin

#endif  // STANDIN_HTTP_JSON_H_
