#ifndef CORE_CALLER_EVENT_ID_H_
#define CORE_CALLER_EVENT_ID_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujuberock::caller {

// Names one event of a stream: what any host needs to go on after it.
struct StreamPosition {
  std::string endpoint;
  // The engine's name of the request.
  std::string stream;
  std::string model;
  // Host that the caller was connected to.
  std::string host;
  // Offset of the next event.
  uint64_t offset = 0;
};

// Seals event ids with AES-256-GCM, the team as associated data, so that an id
// is valid for its own team only and reveals nothing. Every host derives the
// same key from the deployment key. Thread-safe.
class EventIdSealer {
 public:
  explicit EventIdSealer(std::string_view deployment_key);

  std::string Seal(const StreamPosition& position, std::string_view team) const;
  // Throws common::Error kInvalidEventId unless the id was sealed for `team`.
  StreamPosition Open(std::string_view id, std::string_view team) const;

 private:
  std::array<uint8_t, 32> key;
};

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_EVENT_ID_H_
