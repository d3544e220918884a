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

// A request target in its parts. Segments carry no slashes.
struct Target {
  std::vector<std::string> segments;
  std::map<std::string, std::string> query;

  // The number given by the query field, or `fallback` without that field.
  // Throws common::Error kMalformedRequest when it is not a number.
  uint64_t NumberOr(const std::string& field, uint64_t fallback) const;
};

Target ParseTarget(std::string_view text);

// The number in the text. Throws common::Error kMalformedRequest.
uint64_t ParseNumber(std::string_view text);

// The request's body as a JSON object. Throws common::Error
// kMalformedRequest; an empty body is an empty object.
nlohmann::json ParseBody(const runtime::HttpRequest& request);

void SendJson(runtime::ResponseWriter& writer,
              int status,
              const nlohmann::json& body);

// Ends the exchange without an answer: the server closes the connection.
[[noreturn]] void DropConnection();

}  // namespace jujuberock::standin

#endif  // STANDIN_HTTP_JSON_H_
