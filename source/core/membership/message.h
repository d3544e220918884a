#ifndef CORE_MEMBERSHIP_MESSAGE_H_
#define CORE_MEMBERSHIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/table/types.h"

namespace jujuberock::membership {

// Message names under which hosts exchange probes.
constexpr std::string_view kProbeMessage = "probe";
constexpr std::string_view kIndirectProbeMessage = "indirect_probe";

// State of a host. Between two states of the same incarnation the later
// enumerator takes precedence.
enum class HostState { kAlive, kLeaving, kSuspect, kDead };
constexpr size_t kHostStates = 4;

// What one host knows about another. Only the host itself raises its
// incarnation, which lets it refute a suspicion.
struct HostInfo {
  std::string name;
  std::string zone;
  std::string address;
  uint64_t incarnation = 0;
  HostState state = HostState::kAlive;

  bool operator==(const HostInfo&) const = default;
};

// An endpoint that some host saw leaving. `version` is the version of the
// endpoint's object in the platform; a newer object supersedes this item.
// `round` counts renewals by hosts that still see the endpoint leaving.
struct LeavingEndpoint {
  std::string endpoint;
  table::Version version = 0;
  uint64_t round = 0;

  bool operator==(const LeavingEndpoint&) const = default;
};

struct Delegate {
  std::string name;
  std::string address;

  bool operator==(const Delegate&) const = default;
};

// State of a zone as seen by one of its delegates, the two hosts that represent
// it to other zones.
struct ZoneSummary {
  std::string zone;
  // The delegate that made the summary. `sequence` starts at the author's
  // incarnation and rises with each summary.
  std::string author;
  uint64_t sequence = 0;
  uint64_t live_hosts = 0;
  // Delegates of the zone.
  std::vector<Delegate> delegates;

  bool operator==(const ZoneSummary&) const = default;
};

// One update that spreads by gossip.
using GossipItem = std::variant<HostInfo, LeavingEndpoint, ZoneSummary>;

enum class MessageType {
  kProbe,          // asks the receiver for a kAck
  kAck,            // acknowledges a kProbe or kAnnounce
  kIndirectProbe,  // asks the receiver to probe `subject` for the sender
  kIndirectAck,    // `subject` acknowledged the probe made for the receiver
  kAnnounce,       // urgent update to every host; its ack carries no gossip
};
constexpr size_t kMessageTypes = 5;

// A message, encoded as a msgpack array:
//   [1, type, sequence, subject, [name, zone, address, incarnation, state],
//    gossip]
// type      uint: MessageType
// sequence  uint: number of the sender's probe, echoed in the ack
// subject   string: the host to probe; empty for kProbe and kAck
// sender    the fields of a HostInfo
// gossip    array of [0, name, zone, address, incarnation, state],
//           [1, endpoint, version, round] and
//           [2, zone, author, sequence, live_hosts, [name, address, ...]]
struct Message {
  MessageType type = MessageType::kProbe;
  uint64_t sequence = 0;
  std::string subject;
  HostInfo sender;
  std::vector<GossipItem> gossip;
};

std::string Encode(const Message& message);
// Throws common::Error kProtocolError when the bytes are malformed.
Message DecodeMessage(std::string_view bytes);

// Approximate number of bytes that an item adds to a message.
size_t EstimatedSize(const GossipItem& item);

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_MESSAGE_H_
