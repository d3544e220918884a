#ifndef CORE_TABLE_SYNC_H_
#define CORE_TABLE_SYNC_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/random.h"
#include "core/common/ranked_mutex.h"
#include "core/common/time.h"
#include "core/table/host_progress.h"
#include "core/table/peer_set.h"
#include "core/table/shared_view.h"
#include "core/table/sync_message.h"

namespace jujuberock::table {

struct SyncOptions {
  // Number of zone peers to which a host forwards each change that is new to
  // it. With 3, about 5% of a large zone miss the push and get the change
  // through the periodic comparison.
  size_t fanout = 3;
  // Changes that arrive within this period are forwarded in one message.
  common::Duration push_period = std::chrono::milliseconds(100);
  // Every host compares digests with one zone peer this often; each of the two
  // delegates of a zone also compares with one host of another zone.
  common::Duration compare_period = std::chrono::seconds(1);
  // Limit on the bodies of recent objects sent before a full digest is
  // exchanged.
  size_t recent_bytes = 8 * 1024;
};

// Steps of an exchange between two hosts. A comparison that finds a difference
// first sends the newest objects, then repairs bucket by bucket.
enum class SyncStep { kPush, kCompare, kSendNewer, kRepair };

// A message to send. Pass its response to OnAnswer() together with this object.
struct SyncRequest {
  std::string to;
  std::string_view message;
  std::string body;
  SyncStep step = SyncStep::kCompare;
  // Number of repair messages sent in this exchange, this one included.
  int repair_rounds = 0;
  // The body does not contain all missing objects.
  bool more = false;
};

// Gossip protocol that replicates the table between hosts: pushes new changes,
// periodically compares digests (anti-entropy) and exchanges the objects that
// differ. Does no I/O and reads no clock. Thread-safe.
class Sync {
 public:
  Sync(SharedView& view, SyncOptions options, uint64_t seed);

  // Queues objects received from the platform or from a peer; they are
  // forwarded on the next tick.
  void OnChanged(const std::vector<Object>& objects, common::TimePoint now);

  // Returns the messages that are due. Must be called at least every
  // push_period and from one fiber only.
  std::vector<SyncRequest> OnTick(common::TimePoint now, const PeerSet& peers);

  // Handles a message from a peer and returns the response. Throws
  // common::Error kProtocolError if it is malformed.
  std::string OnRequest(const std::string& from,
                        std::string_view body,
                        common::TimePoint now);

  // Handles the response to a message and returns follow-up messages. Throws
  // like OnRequest().
  std::vector<SyncRequest> OnAnswer(const SyncRequest& sent,
                                    std::string_view body,
                                    common::TimePoint now);

  // Creates a comparison with one host, for startup and for the status report.
  SyncRequest MakeDigestRequest(const std::string& host) const;

  // Whether this host has a complete configuration: it has listed every kind
  // from the platform, or its digest has matched that of a ready peer.
  bool ready() const;
  void OnPlatformListed();

  // Known hosts whose table differs from this one, as far as their messages
  // tell.
  std::vector<LaggingHost> LaggingHosts(const std::set<std::string>& known,
                                        common::TimePoint now) const;
  // Drops the state of all hosts that are not in `known`.
  void RetainHosts(const std::set<std::string>& known);

 private:
  SyncMessage MakeMessage() const;
  // Returns whether any object was new.
  bool Merge(const std::string& from,
             const SyncMessage& message,
             common::TimePoint now);
  std::vector<SyncRequest> SendNewer(const std::string& to, Version after);
  std::vector<SyncRequest> SendRepair(const SyncRequest& sent,
                                      const SyncMessage& response,
                                      bool merged);
  std::vector<SyncRequest> Push(const PeerSet& peers);
  std::vector<SyncRequest> ComparePeers(const PeerSet& peers);

  SharedView& view;
  SyncOptions options;
  mutable common::RankedMutex mutex{common::LockRank::kTable};
  common::Random random;
  // Newest version of each object to be forwarded with the next push.
  std::map<View::Key, Object> pending_push;
  HostProgress progress;
  common::TimePoint next_push;
  common::TimePoint next_compare;
  size_t next_zone_index = 0;
  bool is_ready = false;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_SYNC_H_
