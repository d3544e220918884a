#include "standin/http_json.h"

#include <charconv>
#include <utility>

#include "core/common/error.h"

namespace jujuberock::standin {

using common::Error;
using common::ResultCode;
using nlohmann::json;

namespace {

void ParseQuery(std::string_view text, Target& target) {
  while (!text.empty()) {
    const size_t end = text.find('&');
    const std::string_view field = text.substr(0, end);
    const size_t equals = field.find('=');
    const std::string_view value =
        equals == std::string_view::npos ? "" : field.substr(equals + 1);
    target.query[std::string(field.substr(0, equals))] = std::string(value);
    if (end == std::string_view::npos)
      return;
    text.remove_prefix(end + 1);
  }
}

}  // namespace

uint64_t ParseNumber(std::string_view text) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end)
    throw Error(ResultCode::kMalformedRequest,
                "invalid number: " + std::string(text));
  return number;
}

uint64_t Target::NumberOr(const std::string& field, uint64_t fallback) const {
  const auto found = this->query.find(field);
  return found == this->query.end() ? fallback : ParseNumber(found->second);
}

Target ParseTarget(std::string_view text) {
  Target target;
  const size_t question = text.find('?');
  if (question != std::string_view::npos)
    ParseQuery(text.substr(question + 1), target);
  std::string_view path = text.substr(0, question);
  while (!path.empty()) {
    const size_t slash = path.find('/');
    const std::string_view segment = path.substr(0, slash);
    if (!segment.empty())
      target.segments.emplace_back(segment);
    if (slash == std::string_view::npos)
      break;
    path.remove_prefix(slash + 1);
  }
  return target;
}

json ParseBody(const runtime::HttpRequest& request) {
  if (request.body.empty())
    return json::object();
  json body = json::parse(request.body, nullptr, false);
  if (!body.is_object())
    throw Error(ResultCode::kMalformedRequest, "the body is not a JSON object");
  return body;
}

void SendJson(runtime::ResponseWriter& writer, int status, const json& body) {
  SendJsonText(writer, status, body.dump());
}

void SendJsonText(runtime::ResponseWriter& writer,
                  int status,
                  std::string text) {
  runtime::HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(text);
  writer.Send(std::move(response));
}

void DropConnection() {
  throw Error(ResultCode::kCanceled, "connection dropped by an injected fault");
}

}  // namespace jujuberock::standin
