#ifndef CORE_LOAD_EXCHANGE_CODEC_H_
#define CORE_LOAD_EXCHANGE_CODEC_H_

#include <string>
#include <string_view>

#include "core/load_exchange/exchange.h"

namespace jujuberock::load_exchange {

// Message `load_reports`, a msgpack array: [format, [entry, ...]] where an
// entry is [id, as_of_ms_low, running, queued_steps] and, when one of them is
// there, also `full` and `cache`. `full` is nil or [name, as_of_us, running,
// queued_tokens, slots, prefill_tokens_per_s, decode_ms, kv_capacity_blocks,
// kv_used_blocks, version, leaving]; `cache` is nil or [first_sequence,
// restarted,
// [[added, key_high, key_low], ...]].
std::string Encode(const LoadMessage& message);

// Throws common::Error kProtocolError when the bytes are not such a message.
LoadMessage Decode(std::string_view bytes);

}  // namespace jujuberock::load_exchange

#endif  // CORE_LOAD_EXCHANGE_CODEC_H_
