#ifndef CORE_LOAD_EXCHANGE_CODEC_H_
#define CORE_LOAD_EXCHANGE_CODEC_H_

#include <string>
#include <string_view>

#include "core/load_exchange/exchange.h"

namespace jujuberock::load_exchange {

// Encodes message `load_reports` as a msgpack array: [format, [entry, ...]]. An
// entry is [id, as_of_ms_low, running, queued_steps], followed by `full` and
// `cache` if at least one of them is present. `full` is nil or [name, as_of_us,
// running, queued_tokens, slots, prefill_tokens_per_s, decode_ms,
// kv_capacity_blocks, kv_used_blocks, version, leaving]; `cache` is nil or
// [first_sequence, restarted, [[added, key_high, key_low], ...]].
std::string Encode(const LoadMessage& message);

// Throws common::Error kProtocolError if the bytes are not such a message.
LoadMessage Decode(std::string_view bytes);

}  // namespace jujuberock::load_exchange

#endif  // CORE_LOAD_EXCHANGE_CODEC_H_
