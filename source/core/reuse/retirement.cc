#include "core/reuse/retirement.h"

#include <algorithm>
#include <limits>

namespace jujuberock::reuse {

void Retirement::OnEngines(const std::vector<EngineVersion>& present,
                           common::TimePoint now) {
  if (!this->began_at)
    this->began_at = now;
  for (const EngineVersion& engine : present)
    this->engines[engine.id] = {engine.version, now};
  std::erase_if(this->engines, [&](const auto& entry) {
    return now - entry.second.seen_at > kReturnTime;
  });
  const uint64_t version = this->LeastVersion();
  if (version == this->least)
    return;
  this->least = version;
  this->least_since = now;
}

uint64_t Retirement::LeastVersion() const {
  if (this->engines.empty())
    return 0;
  uint64_t version = std::numeric_limits<uint64_t>::max();
  for (const auto& [id, engine] : this->engines)
    version = std::min(version, engine.version);
  return version;
}

uint64_t Retirement::OldestInUse(common::TimePoint now) const {
  if (!this->began_at || now - *this->began_at < kReturnTime ||
      now - this->least_since < kQuietTime)
    return 0;
  return this->least;
}

}  // namespace jujuberock::reuse
