#include "core/table/digest.h"

#include <algorithm>
#include <string>

#include "core/common/hash.h"

namespace jujuberock::table {

namespace {

uint64_t HashOfName(std::string_view kind, std::string_view name) {
  return common::Hash64(name, common::Hash64(kind));
}

}  // namespace

size_t BucketOf(std::string_view kind, std::string_view name) {
  return HashOfName(kind, name) % kBuckets;
}

uint64_t HashOf(std::string_view kind, std::string_view name, Version version) {
  // Versions are written as text so that hosts of any byte order agree.
  return common::Hash64(std::to_string(version), HashOfName(kind, name));
}

Version Digest::High() const {
  Version high = 0;
  for (const BucketDigest& bucket : this->buckets)
    high = std::max(high, bucket.high);
  return high;
}

uint64_t Digest::Hash() const {
  uint64_t hash = 0;
  for (const BucketDigest& bucket : this->buckets)
    hash ^= bucket.hash;
  return hash;
}

}  // namespace jujuberock::table
