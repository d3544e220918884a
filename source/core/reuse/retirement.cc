#include "core/reuse/retirement.h"

#include <algorithm>

namespace jujuberock::reuse {

void Retirement::OnEngines(const std::vector<EngineVersion>& present,
                           common::TimePoint now) {
  for (const EngineVersion& engine : present) {
    Engine& known = this->engines[engine.id];
    known.version = engine.version;
    known.seen_at = now;
  }
  std::erase_if(this->engines, [&](const auto& entry) {
    return now - entry.second.seen_at > kReturnTime;
  });
  const uint64_t version = this->LeastVersion(now);
  if (version == this->least)
    return;
  this->least = version;
  this->least_since = now;
}

uint64_t Retirement::LeastVersion(common::TimePoint) const {
  uint64_t version = 0;
  for (const auto& [id, engine] : this->engines)
    version = version == 0 ? engine.version : std::min(version, engine.version);
  return version;
}

uint64_t Retirement::OldestInUse(common::TimePoint now) const {
  return now - this->least_since >= kQuietTime ? this->least : 0;
}

}  // namespace jujuberock::reuse
