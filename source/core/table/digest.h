#ifndef CORE_TABLE_DIGEST_H_
#define CORE_TABLE_DIGEST_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/table/types.h"

namespace jujuberock::table {

// Objects fall into buckets by the hash of kind and name. At 4,700 objects a
// bucket holds about 70, so a repair resends little.
constexpr size_t kBuckets = 64;

// What a view holds of one bucket.
struct BucketDigest {
  // Highest version in the bucket.
  Version high = 0;
  // XOR over the bucket's objects of the hash of kind, name and version.
  uint64_t hash = 0;

  bool operator==(const BucketDigest&) const = default;
};

// Two views with equal digests hold the same objects at the same versions
// (up to collisions of a 64-bit hash).
struct Digest {
  std::array<BucketDigest, kBuckets> buckets;

  bool operator==(const Digest&) const = default;
  // Highest version held.
  Version High() const;
  // Hash over all buckets; sent alone in the periodic comparison.
  uint64_t Hash() const;
};

// The short form of a digest.
struct DigestSummary {
  Version high = 0;
  uint64_t hash = 0;

  bool operator==(const DigestSummary&) const = default;
};

inline DigestSummary SummaryOf(const Digest& digest) {
  return {digest.High(), digest.Hash()};
}

// Objects that bring another view closer to this one.
struct Delta {
  std::vector<Object> objects;
  // More objects are missing than fit into one message: ask again.
  bool more = false;
};

size_t BucketOf(std::string_view kind, std::string_view name);
uint64_t HashOf(std::string_view kind, std::string_view name, Version version);

}  // namespace jujuberock::table

#endif  // CORE_TABLE_DIGEST_H_
