#include "core/caller/problem.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace jujuberock::caller {

using common::ResultCodeInfo;

namespace {

// Retry-After is in whole seconds. Zero would let callers retry in a busy loop.
constexpr int64_t kMinRetrySeconds = 1;

int64_t RetryAfterSeconds(const common::Error& error) {
  const auto* refusal = dynamic_cast<const RefusedError*>(&error);
  if (!refusal)
    return kMinRetrySeconds;
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(refusal->retry_after()).count();
  return std::max<int64_t>(kMinRetrySeconds, seconds);
}

bool HasRetryAfter(const ResultCodeInfo& info) {
  return info.http_status == 429 || info.http_status == 503;
}

}  // namespace

std::string RenderProblemJson(const common::Error& error) {
  const ResultCodeInfo& info = common::InfoOf(error.code());
  const nlohmann::json document = {
      {"type", "about:blank"},
      {"status", info.http_status},
      {"code", static_cast<int>(info.code)},
      {"name", info.name},
      {"title", info.title},
      {"detail", error.what()},
      {"outcome", common::NameOf(error.outcome())}};
  // Replaces invalid UTF-8, which a detail may quote from the request.
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

runtime::HttpResponse RenderProblemResponse(const common::Error& error) {
  const ResultCodeInfo& info = common::InfoOf(error.code());
  runtime::HttpResponse response;
  response.status = info.http_status;
  response.headers.Add("Content-Type", "application/problem+json");
  if (info.http_status == 401)
    response.headers.Add("WWW-Authenticate", "Bearer");
  if (HasRetryAfter(info))
    response.headers.Add("Retry-After",
                         std::to_string(RetryAfterSeconds(error)));
  response.body = RenderProblemJson(error);
  return response;
}

}  // namespace jujuberock::caller
