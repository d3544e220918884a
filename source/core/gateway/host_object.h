#ifndef CORE_GATEWAY_HOST_OBJECT_H_
#define CORE_GATEWAY_HOST_OBJECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/config_floor.h"
#include "core/common/time.h"
#include "core/suspects/part_suspects.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::gateway {

// What a host publishes about itself in the platform's store. Stored as JSON.
struct HostObject {
  std::string zone;
  std::string caller_address;
  // Address for datagrams of other hosts; empty if it takes none.
  std::string peer_address;
  // Where it takes requests over from other hosts; empty if it takes none.
  std::string handover_address;
  // When the object was written, by the clock of the writer. The ages of the
  // marks count from then.
  common::UnixTime written_at;
  catalog::PeerConfig config;
  // Time since the host sent its last order to an engine; nothing if it sent
  // none since it started.
  std::optional<common::Duration> last_order_age;
  std::vector<suspects::CrashMark> marks;
  std::vector<suspects::PartMark> part_marks;
};

std::string EncodeHostObject(const HostObject& object);

// Returns nullopt if the text is not such an object. Adds the time since it was
// written to the ages of its marks, so that marks which a host left behind long
// ago are not taken for new ones.
std::optional<HostObject> DecodeHostObject(std::string_view text,
                                           common::UnixTime wall_now);

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_HOST_OBJECT_H_
