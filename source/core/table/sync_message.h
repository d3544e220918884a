#ifndef CORE_TABLE_SYNC_MESSAGE_H_
#define CORE_TABLE_SYNC_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/table/digest.h"

namespace jujuberock::table {

// Names of the messages. Both have the same shape; `table_digest` carries no
// objects in the request and is sent periodically, `table_delta` carries some.
constexpr std::string_view kDigestMessage = "table_digest";
constexpr std::string_view kDeltaMessage = "table_delta";

// Body of a request and of its answer, as a msgpack array:
//   [1, ready, high, hash, buckets, objects, more]
// ready    bool: the sender has a complete configuration
// high     uint: highest version that the sender holds
// hash     uint: hash over the sender's digest
// buckets  nil, or 64 times [high, hash]
// objects  array of [kind, name, version, body]; body nil for a tombstone
// more     bool: further objects did not fit
// In an answer, `high` and `hash` describe the sender after it has merged the
// request's objects. A missing or wrong element makes the message malformed.
struct SyncMessage {
  bool ready = false;
  DigestSummary summary;
  std::optional<Digest> digest;
  std::vector<Object> objects;
  bool more = false;
};

std::string Encode(const SyncMessage& message);

// Throws common::Error kProtocolError when the bytes are malformed or of an
// unknown format version.
SyncMessage DecodeSyncMessage(std::string_view bytes);

}  // namespace jujuberock::table

#endif  // CORE_TABLE_SYNC_MESSAGE_H_
