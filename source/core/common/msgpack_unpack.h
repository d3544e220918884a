#ifndef CORE_COMMON_MSGPACK_UNPACK_H_
#define CORE_COMMON_MSGPACK_UNPACK_H_

#include <algorithm>
#include <string_view>

#include <msgpack.hpp>

namespace jujuberock::common {

// Unpacks a message from another process. msgpack allocates memory for the
// length that a field claims before it reads the elements, so a message of a
// few bytes could request gigabytes. Hence every length is bounded by the size
// of the message, and arrays and nesting also by what the messages need. Bytes
// behind the message are an error. Throws msgpack::unpack_error. Include it in
// .cc files only.
inline msgpack::object_handle UnpackMessage(std::string_view bytes) {
  constexpr size_t kMaxElements = 65536;
  constexpr size_t kMaxDepth = 8;
  const size_t elements = std::min(bytes.size(), kMaxElements);
  const msgpack::unpack_limit limit(elements, elements, bytes.size(),
                                    bytes.size(), bytes.size(), kMaxDepth);
  size_t end = 0;
  msgpack::object_handle message =
      msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limit);
  if (end != bytes.size())
    throw msgpack::parse_error("bytes behind the message");
  return message;
}

}  // namespace jujuberock::common

#endif  // CORE_COMMON_MSGPACK_UNPACK_H_
