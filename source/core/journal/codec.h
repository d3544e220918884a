#ifndef CORE_JOURNAL_CODEC_H_
#define CORE_JOURNAL_CODEC_H_

#include <string>
#include <string_view>

#include "core/journal/messages.h"

namespace jujuberock::journal {

// Names of the messages that hosts exchange.
inline constexpr char kPermitMessage[] = "permit";
inline constexpr char kOutcomeMessage[] = "outcome";

// Messages are msgpack arrays whose first element is the format version.
// Decoding throws common::Error kProtocolError for malformed input.
std::string Encode(const PermitRequest& request);
std::string Encode(const PermitReply& reply);
std::string Encode(const OutcomeRequest& request);
std::string Encode(const OutcomeReply& reply);
PermitRequest DecodePermitRequest(std::string_view bytes);
PermitReply DecodePermitReply(std::string_view bytes);
OutcomeRequest DecodeOutcomeRequest(std::string_view bytes);
OutcomeReply DecodeOutcomeReply(std::string_view bytes);

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_CODEC_H_
