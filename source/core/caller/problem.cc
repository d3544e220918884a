#include "core/caller/problem.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace jujuberock::caller {

using common::ResultCodeInfo;

namespace {

// Retry-After has a resolution of seconds, and zero would invite a busy loop.
constexpr int64_t kLeastRetrySeconds = 1;

int64_t RetrySeconds(const common::Error& error) {
  const auto* refused = dynamic_cast<const RefusedError*>(&error);
  if (!refused)
    return kLeastRetrySeconds;
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(refused->retry_after()).count();
  return std::max<int64_t>(kLeastRetrySeconds, seconds);
}

bool MayRetryLater(const ResultCodeInfo& info) {
  return info.http_status == 429 || info.http_status == 503;
}

}  // namespace

std::string ProblemText(const common::Error& error) {
  const ResultCodeInfo& info = common::InfoOf(error.code());
  const nlohmann::json document = {
      {"type", "about:blank"},
      {"status", info.http_status},
      {"code", static_cast<int>(info.code)},
      {"name", info.name},
      {"title", info.title},
      {"detail", error.what()},
      {"outcome", common::NameOf(error.outcome())}};
  // A detail may quote bytes of the request that are not UTF-8.
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

runtime::HttpResponse RenderProblem(const common::Error& error) {
  const ResultCodeInfo& info = common::InfoOf(error.code());
  runtime::HttpResponse response;
  response.status = info.http_status;
  response.headers.Add("Content-Type", "application/problem+json");
  if (info.http_status == 401)
    response.headers.Add("WWW-Authenticate", "Bearer");
  if (MayRetryLater(info))
    response.headers.Add("Retry-After", std::to_string(RetrySeconds(error)));
  response.body = ProblemText(error);
  return response;
}

}  // namespace jujuberock::caller
