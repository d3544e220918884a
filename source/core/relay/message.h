#ifndef CORE_RELAY_MESSAGE_H_
#define CORE_RELAY_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/object_store.h"
#include "core/common/name_table.h"
#include "core/common/time.h"

namespace jujuberock::relay {

// A read of another host's view of the store.
struct RelayRequest {
  catalog::ObjectKind kind = catalog::ObjectKind::kConfig;
  // Revision after which changes are wanted, and the era in which it was given
  // out. Without a revision, all objects are wanted.
  std::optional<uint64_t> revision;
  uint64_t era = 0;
  // Maximum time until the answer.
  common::Duration wait{0};
  // How long ago the store confirmed what the asking host has.
  common::Duration age{0};

  friend bool operator==(const RelayRequest&, const RelayRequest&) = default;
};

enum class RelayStatus {
  kView,          // all objects, or the changes since the revision
  kHistoryGone,   // the changes since the revision are not known any more
  kNoView,        // the host does not watch the store now
  kStoreFailing,  // the host's last call to the store failed
  kBehind,        // the asking host knows a newer revision or era
};

inline constexpr common::NameTable<RelayStatus, 5> kRelayStatusNames(
    {"view", "history_gone", "no_view", "store_failing", "behind"});

struct RelayAnswer {
  RelayStatus status = RelayStatus::kNoView;
  // The revision of the view, and the era in which it was given out.
  uint64_t era = 0;
  uint64_t revision = 0;
  // Time from the store's confirmation of the view to the arrival of the
  // request; negative if the request waited for the confirmation.
  common::Duration age{0};
  // The same for the last time at which the changes were certainly not made
  // yet. Nothing if the relay does not know.
  std::optional<common::Duration> change_age;
  std::vector<catalog::ObjectChange> changes;
};

// Requests are msgpack arrays [format, kind, revision or nil, era, wait in us,
// age in us], answers [format, status, era, revision, age in us, change age in
// us or nil, [[name, revision, content, fault, deleted], ...]].
std::string Encode(const RelayRequest& request);
std::string Encode(const RelayAnswer& answer);

// Throw common::Error kProtocolError if the bytes are not such a message.
RelayRequest DecodeRequest(std::string_view bytes);
RelayAnswer DecodeAnswer(std::string_view bytes);

}  // namespace jujuberock::relay

#endif  // CORE_RELAY_MESSAGE_H_
