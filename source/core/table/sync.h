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
  // Zone peers to which a host passes on each change that is new to it. With
  // three, about 5% of a large zone miss a change and get it by comparison.
  size_t fanout = 3;
  // Changes that arrive within this time are passed on together.
  common::Duration push_period = std::chrono::milliseconds(100);
  // Every host compares digests with one zone peer this often, and each of
  // the two hosts that act for a zone with one host of another zone.
  common::Duration compare_period = std::chrono::seconds(1);
  // Bodies sent in the answer to a comparison without a full digest.
  size_t recent_bytes = 8 * 1024;
};

// Steps of an exchange between two hosts. A comparison that finds a difference
// first appends what is newest, then compares bucket by bucket.
enum class SyncStep { kPush, kCompare, kAppend, kRepair };

// A message to send. Its answer goes to OnAnswer() with this object.
struct SyncSend {
  std::string to;
  std::string_view message;
  std::string body;
  SyncStep step = SyncStep::kCompare;
  // Repairs already made in this exchange.
  int repairs = 0;
  // Objects were left out of the body.
  bool more = false;
};

// Spreads changes between hosts: pushes what is new, compares digests
// periodically and exchanges what differs. Holds no socket or clock.
// Thread-safe.
class Sync {
 public:
  Sync(SharedView& view, SyncOptions options, uint64_t seed);

  // Objects that became known from the platform or from a peer; they are
  // passed on with the next tick.
  void OnChanged(const std::vector<Object>& objects, common::TimePoint now);

  // Call it every push_period or more often, from one fiber only.
  std::vector<SyncSend> OnTick(common::TimePoint now, const PeerSet& peers);

  // Handles a message of a peer and returns the answer. Throws common::Error
  // kProtocolError when it is malformed.
  std::string OnRequest(const std::string& from,
                        std::string_view body,
                        common::TimePoint now);

  // Handles the answer to a message; may ask for another exchange. Throws as
  // OnRequest.
  std::vector<SyncSend> OnAnswer(const SyncSend& sent,
                                 std::string_view body,
                                 common::TimePoint now);

  // A comparison with one host, for the start and for status.
  SyncSend Compare(const std::string& host) const;

  // Whether this host holds a complete configuration: it read every kind from
  // the platform, or got everything from a peer that is ready.
  bool ready() const;
  void OnPlatformComplete();

  // What the other hosts have in force, as far as their messages tell.
  std::vector<HostLag> Lags(const std::set<std::string>& known,
                            common::TimePoint now) const;
  // Forgets hosts that are not among these.
  void Retain(const std::set<std::string>& known);

 private:
  SyncMessage Header() const;
  // Returns whether something was new.
  bool Merge(const std::string& from,
             const SyncMessage& message,
             common::TimePoint now);
  std::vector<SyncSend> Append(const std::string& to, Version after);
  std::vector<SyncSend> Repair(const SyncSend& sent,
                               const SyncMessage& answer,
                               bool merged);
  std::vector<SyncSend> Push(const PeerSet& peers);
  std::vector<SyncSend> ComparePeers(const PeerSet& peers);

  SharedView& view;
  SyncOptions options;
  mutable common::RankedMutex mutex{common::LockRank::kTable};
  common::Random random;
  // Newest version of each object that waits to be passed on.
  std::map<View::Key, Object> fresh;
  HostProgress progress;
  common::TimePoint next_push;
  common::TimePoint next_compare;
  size_t next_zone = 0;
  bool is_ready = false;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_SYNC_H_
