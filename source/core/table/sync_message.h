#ifndef CORE_TABLE_SYNC_MESSAGE_H_
#define CORE_TABLE_SYNC_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/table/digest.h"

namespace jujuberock::table {

// Message names. Both messages have the same format. `table_digest` is sent
// periodically and its request has no objects; `table_delta` carries objects.
constexpr std::string_view kDigestMessage = "table_digest";
constexpr std::string_view kDeltaMessage = "table_delta";

// Body of a request and of its response, as a msgpack array:
//   [1, ready, max_version, hash, buckets, objects, more]
// ready        bool: whether the sender has a complete configuration
// max_version  uint: highest version that the sender holds
// hash         uint: hash over the sender's digest
// buckets      nil, or an array of 128: the highest version and the hash of
//              each bucket
// objects      array of [kind, name, version, body]; body nil for a tombstone
// more         bool: whether there are more objects that did not fit
// In a response, `max_version` and `hash` describe the sender after it has
// merged the objects of the request. A missing or invalid element makes the
// message malformed.
struct SyncMessage {
  bool ready = false;
  DigestSummary summary;
  std::optional<Digest> digest;
  std::vector<Object> objects;
  bool more = false;
};

std::string Encode(const SyncMessage& message);

// Throws common::Error kProtocolError if the bytes are malformed or have an
// unsupported format version.
SyncMessage DecodeSyncMessage(std::string_view bytes);

}  // namespace jujuberock::table

#endif  // CORE_TABLE_SYNC_MESSAGE_H_
