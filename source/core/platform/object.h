#ifndef CORE_PLATFORM_OBJECT_H_
#define CORE_PLATFORM_OBJECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujuberock::platform {

// Version of an object: the store's single counter at its last write. Zero
// means "does not exist".
using Version = uint64_t;

// One object of the platform's store. `body` is JSON text of at most 1 MB.
struct Object {
  std::string kind;
  std::string name;
  Version version = 0;
  bool deleted = false;
  std::string body;
  // Token of the writer of this version.
  std::string token;
};

struct ObjectList {
  // The store's counter when the list was made; a watch goes on from there.
  Version version = 0;
  std::vector<Object> objects;
};

// What is known after a conditional write.
enum class WriteState {
  kWritten,   // this write took effect
  kConflict,  // the expected version did not match; this write had no effect
  kRejected,  // refused (rate, size, outage) before it had an effect
  kUnknown,   // the answer was lost: read the object and look for the token
};

struct WriteResult {
  WriteState state = WriteState::kUnknown;
  // The new version when written.
  Version version = 0;
  // The object in force after a conflict; empty when it does not exist.
  std::optional<Object> current;
  // Why the write was rejected or its result is unknown.
  std::string detail;
};

// Why a watch ended.
enum class WatchEnd {
  kStopped,  // the receiver asked for it
  kEnded,    // the connection ended
  kSilent,   // nothing arrived, not even a keep-alive line
  kExpired,  // its lifetime passed
};

}  // namespace jujuberock::platform

#endif  // CORE_PLATFORM_OBJECT_H_
