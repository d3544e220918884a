#include "core/reuse/version_retirement.h"

#include <algorithm>
#include <limits>

namespace jujuberock::reuse {

void VersionRetirement::OnEngines(const std::vector<EngineVersion>& present,
                                  common::TimePoint now) {
  if (!this->observed_since)
    this->observed_since = now;
  for (const EngineVersion& engine : present)
    this->engines[engine.id] = {engine.version, now};
  std::erase_if(this->engines, [&](const auto& entry) {
    return now - entry.second.seen_at > kReturnTime;
  });
  const uint64_t version = this->MinVersion();
  if (version == this->min_version)
    return;
  this->min_version = version;
  this->min_version_since = now;
}

uint64_t VersionRetirement::MinVersion() const {
  if (this->engines.empty())
    return 0;
  uint64_t version = std::numeric_limits<uint64_t>::max();
  for (const auto& [id, engine] : this->engines)
    version = std::min(version, engine.version);
  return version;
}

uint64_t VersionRetirement::OldestInUse(common::TimePoint now) const {
  if (!this->observed_since || now - *this->observed_since < kReturnTime ||
      now - this->min_version_since < kDrainTime)
    return 0;
  return this->min_version;
}

}  // namespace jujuberock::reuse
