#ifndef CORE_MEMBERSHIP_MESSAGE_H_
#define CORE_MEMBERSHIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/table/types.h"

namespace jujuberock::membership {

// Names of the messages between hosts.
constexpr std::string_view kProbeMessage = "probe";
constexpr std::string_view kIndirectProbeMessage = "indirect_probe";

// State of a host; at equal incarnation a later one of these prevails.
enum class HostState { kAlive, kLeaving, kSuspect, kDead };
constexpr size_t kHostStates = 4;

// What is known of a host. Only the host itself raises its incarnation, so it
// can refute a suspicion.
struct HostNews {
  std::string name;
  std::string zone;
  std::string address;
  uint64_t incarnation = 0;
  HostState state = HostState::kAlive;

  bool operator==(const HostNews&) const = default;
};

// A host saw this endpoint leaving. `version` is that of the endpoint's object
// in the platform: a newer object replaces the news. `round` counts renewals
// by hosts that still see it leaving.
struct LeavingNews {
  std::string endpoint;
  table::Version version = 0;
  uint64_t round = 0;

  bool operator==(const LeavingNews&) const = default;
};

struct Contact {
  std::string name;
  std::string address;

  bool operator==(const Contact&) const = default;
};

// State of a zone as one of the two hosts that act for it sees it.
struct ZoneNews {
  std::string zone;
  // The host that made the summary, and its number of summaries so far above
  // its incarnation.
  std::string author;
  uint64_t sequence = 0;
  uint64_t live_hosts = 0;
  // Hosts that act for the zone.
  std::vector<Contact> contacts;

  bool operator==(const ZoneNews&) const = default;
};

using News = std::variant<HostNews, LeavingNews, ZoneNews>;

enum class MessageType {
  kProbe,        // asks the receiver to acknowledge
  kAck,          // answers a probe
  kRelayProbe,   // asks the receiver to probe `subject` for the sender
  kRelayAnswer,  // the receiver's relay probe reached `subject`
  kAnnounce,     // urgent news to all; acknowledged without news
};
constexpr size_t kMessageTypes = 5;

// A message as a msgpack array:
//   [1, type, sequence, subject, [name, zone, address, incarnation, state],
//    news]
// type      uint: MessageType
// sequence  uint: number of the sender's probe; repeated in the ack
// subject   string: the host to probe, empty for kProbe and kAck
// sender    as a HostNews
// news      array of [0, name, zone, address, incarnation, state],
//           [1, endpoint, version, round] and
//           [2, zone, author, sequence, live_hosts, [name, address, ...]]
struct Message {
  MessageType type = MessageType::kProbe;
  uint64_t sequence = 0;
  std::string subject;
  HostNews sender;
  std::vector<News> news;
};

std::string Encode(const Message& message);
// Throws common::Error kProtocolError when the bytes are malformed.
Message DecodeMessage(std::string_view bytes);

// Bytes that a piece of news adds to a message, roughly.
size_t SizeOf(const News& news);

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_MESSAGE_H_
