#ifndef CORE_TABLE_DIGEST_H_
#define CORE_TABLE_DIGEST_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/table/types.h"

namespace jujuberock::table {

// Objects are assigned to buckets by the hash of kind and name. With 4,700
// objects a bucket holds about 70, so resending a whole bucket is cheap.
constexpr size_t kBucketCount = 64;

// Digest of the objects of a view in one bucket.
struct BucketDigest {
  // Highest version in the bucket.
  Version max_version = 0;
  // XOR over the bucket's objects of the hash of kind, name and version.
  uint64_t hash = 0;

  bool operator==(const BucketDigest&) const = default;
};

// Digest of all objects of a view. Two views with equal digests hold the same
// objects at the same versions, barring collisions of the 64-bit hash.
struct Digest {
  std::array<BucketDigest, kBucketCount> buckets;

  bool operator==(const Digest&) const = default;
  // Highest version over all buckets.
  Version MaxVersion() const;
  // XOR of the hashes of all buckets. The periodic comparison sends only this
  // and the highest version.
  uint64_t Hash() const;
};

// Short form of a digest, used to detect that two views differ.
struct DigestSummary {
  Version max_version = 0;
  uint64_t hash = 0;

  bool operator==(const DigestSummary&) const = default;
};

inline DigestSummary SummaryOf(const Digest& digest) {
  return {digest.MaxVersion(), digest.Hash()};
}

// Objects that another view may be missing.
struct Delta {
  std::vector<Object> objects;
  // More objects are missing than fit into one message; request another delta.
  bool more = false;
};

size_t BucketOf(std::string_view kind, std::string_view name);
uint64_t ObjectHash(std::string_view kind,
                    std::string_view name,
                    Version version);

}  // namespace jujuberock::table

#endif  // CORE_TABLE_DIGEST_H_
