#include "core/table/digest.h"

#include <algorithm>
#include <string>

#include "core/common/hash.h"

namespace jujuberock::table {

namespace {

uint64_t NameHash(std::string_view kind, std::string_view name) {
  return common::Hash64(name, common::Hash64(kind));
}

}  // namespace

size_t BucketOf(std::string_view kind, std::string_view name) {
  return NameHash(kind, name) % kBucketCount;
}

uint64_t ObjectHash(std::string_view kind,
                    std::string_view name,
                    Version version) {
  // Versions are hashed as text so that the hash does not depend on byte order.
  return common::Hash64(std::to_string(version), NameHash(kind, name));
}

Version Digest::MaxVersion() const {
  Version max_version = 0;
  for (const BucketDigest& bucket : this->buckets)
    max_version = std::max(max_version, bucket.max_version);
  return max_version;
}

uint64_t Digest::Hash() const {
  uint64_t hash = 0;
  for (const BucketDigest& bucket : this->buckets)
    hash ^= bucket.hash;
  return hash;
}

}  // namespace jujuberock::table
