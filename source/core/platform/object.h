#ifndef CORE_PLATFORM_OBJECT_H_
#define CORE_PLATFORM_OBJECT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujuberock::platform {

// Version of an object: the era of the store in which the object was last
// written, and below it the value of the store-wide write counter at that
// write. Zero means that the object does not exist. A store that comes back
// from an older copy of itself begins a new era and gives the values of its
// counter out again, so only with the era do versions grow.
using Version = uint64_t;

inline constexpr int kRevisionBits = 40;

constexpr Version MakeVersion(uint64_t era, uint64_t revision) {
  return (era << kRevisionBits) | revision;
}
constexpr uint64_t EraOf(Version version) {
  return version >> kRevisionBits;
}
constexpr uint64_t RevisionOf(Version version) {
  return version & ((Version{1} << kRevisionBits) - 1);
}

// An object in the platform's store. `body` is text of at most 1 MB as its
// writer sent it. It is meant to be JSON, but may be nested too deep to be
// parsed or not valid.
struct Object {
  std::string kind;
  std::string name;
  Version version = 0;
  bool deleted = false;
  std::string body;
  // Token that the writer of this version chose to identify its write.
  std::string token;
};

struct ObjectList {
  // The store's write counter when the list was taken. A watch from this
  // version continues where the list ends.
  Version version = 0;
  std::vector<Object> objects;
  // Number of entries that are missing from `objects` because they are
  // malformed, and what is wrong with the first one.
  size_t malformed = 0;
  std::string problem;
};

// Outcome of a conditional write.
enum class WriteState {
  kWritten,   // this write took effect
  kConflict,  // the expected version did not match; this write had no effect
  kRejected,  // refused (rate, size, outage); it had no effect
  kUnknown,   // outcome unclear: read the object and compare its token
};

struct WriteResult {
  WriteState state = WriteState::kUnknown;
  // The new version if the write took effect.
  Version version = 0;
  // The current object after a conflict; empty if it does not exist.
  std::optional<Object> current;
  // Why the write did not take effect, or why its outcome is unknown.
  std::string detail;
};

// Why a watch ended.
enum class WatchEnd {
  kStopped,  // the callback or `should_stop` ended the watch
  kEnded,    // the connection was closed or broke
  kSilent,   // nothing arrived in time, not even a keep-alive line
  kExpired,  // the maximum age was reached
  // The store came back from a copy: a list is needed to continue.
  kRestored,
};

}  // namespace jujuberock::platform

#endif  // CORE_PLATFORM_OBJECT_H_
