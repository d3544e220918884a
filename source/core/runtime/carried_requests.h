#ifndef CORE_RUNTIME_CARRIED_REQUESTS_H_
#define CORE_RUNTIME_CARRIED_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jujuberock::runtime {

// The requests that a connection has carried. A response names its request, but
// not which of several sends of that request it answers: a late copy of the
// response to the first send looks like the response to the second. So a
// connection must not carry a request twice. Not thread-safe.
class CarriedRequests {
 public:
  // A connection that has carried this many requests is not used again, which
  // bounds the memory of this object.
  static constexpr size_t kMaxRequests = 512;

  void Add(std::string_view id);
  // Also true for a few requests that the connection has not carried, as the
  // ids are kept as hashes.
  bool Contains(std::string_view id) const;
  bool IsFull() const { return this->hashes.size() >= kMaxRequests; }
  size_t size() const { return this->hashes.size(); }

 private:
  std::vector<uint64_t> hashes;
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_CARRIED_REQUESTS_H_
