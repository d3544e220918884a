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
  // For a chat, all messages in order, each preceded by a line with its role.
  // The prompt of a continued conversation thus starts with the messages of the
  // earlier one.
  std::string prompt;
  int64_t max_tokens = 0;
  bool stream = false;
  int64_t priority = 0;
};

// Headers that every kind of call may carry.
struct CallHeaders {
  std::string conversation;
  std::optional<common::Duration> timeout;
  std::string idempotency_key;
  std::optional<common::UnixTime> issued_at;
  std::string last_event_id;
};

inline constexpr int64_t kDefaultMaxTokens = 256;

// Both throw common::Error kMalformedRequest or kInvalidDeadline; the message
// names the invalid field.
CompletionRequest ParseCompletion(CompletionKind kind,
                                  std::string_view body,
                                  int64_t max_tokens_limit);
CallHeaders ParseCallHeaders(const runtime::HttpHeaders& headers);

// Parses an RFC 3339 time in UTC or with a UTC offset. Returns std::nullopt if
// it is malformed.
std::optional<common::UnixTime> ParseRfc3339(std::string_view text);

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_COMPLETION_REQUEST_H_
