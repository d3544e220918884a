#ifndef CORE_CALLER_EVENT_ID_H_
#define CORE_CALLER_EVENT_ID_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujuberock::caller {

// Identifies one event of a stream and holds what any host needs to resume the
// stream after it.
struct StreamPosition {
  std::string endpoint;
  // Id of the request at the engine.
  std::string engine_request_id;
  std::string model;
  // Host that served the caller's connection.
  std::string host;
  // Offset of the next event.
  uint64_t offset = 0;
};

// Encrypts and authenticates event ids with AES-256-GCM, with the team as
// associated data. An id is valid only for its own team and reveals nothing
// about its content. Every host derives the same key from the deployment key.
// Thread-safe.
class EventIdSealer {
 public:
  explicit EventIdSealer(std::string_view deployment_key);

  std::string Seal(const StreamPosition& position, std::string_view team) const;
  // Decrypts an id. Throws common::Error kInvalidEventId unless the id was
  // sealed for `team`.
  StreamPosition Open(std::string_view id, std::string_view team) const;

 private:
  std::array<uint8_t, 32> key;
};

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_EVENT_ID_H_
