#ifndef CORE_CALLER_COMPLETION_REQUEST_H_
#define CORE_CALLER_COMPLETION_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/runtime/http_types.h"

namespace jujuberock::caller {

enum class CompletionKind { kText, kChat };

struct CompletionRequest {
  CompletionKind kind = CompletionKind::kText;
  std::string model;
  std::string adapter;
  // A chat's messages in the order given, each after a line with its role, so
  // that a longer conversation starts with the text of the shorter one.
  std::string prompt;
  int64_t max_tokens = 0;
  bool stream = false;
  int64_t priority = 0;
};

// What the headers of any call say.
struct CallHeaders {
  std::string conversation;
  std::optional<common::Duration> patience;
  std::string idempotency_key;
  std::optional<common::UnixTime> issued_at;
  std::string last_event_id;
};

inline constexpr int64_t kDefaultMaxTokens = 256;

// Both throw common::Error kMalformedRequest, or kInvalidDeadline, with a
// detail that names the field.
CompletionRequest ParseCompletion(CompletionKind kind,
                                  std::string_view body,
                                  int64_t max_tokens_limit);
CallHeaders ParseCallHeaders(const runtime::HttpHeaders& headers);

// RFC 3339 in UTC or with an offset; nothing when malformed.
std::optional<common::UnixTime> ParseRfc3339(std::string_view text);

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_COMPLETION_REQUEST_H_
