#ifndef PLATFORM_ENDPOINT_ANSWER_H_
#define PLATFORM_ENDPOINT_ANSWER_H_

#include <optional>
#include <string_view>

#include "core/gateway/endpoint_control.h"

namespace jujuberock::platform_adapter {

// Decode the bodies that engines and cache stores answer control calls with.
// Return std::nullopt if the body can't be read: it is malformed, nested too
// deeply or too large, or has numbers out of range.

std::optional<gateway::EngineReport> DecodeReport(std::string_view body);

std::optional<reuse::StoreEvents> DecodeEvents(std::string_view body);

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_ENDPOINT_ANSWER_H_
