#ifndef CORE_JOURNAL_NODE_H_
#define CORE_JOURNAL_NODE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/journal/call.h"
#include "core/journal/messages.h"
#include "core/journal/options.h"
#include "core/journal/shard_owner.h"

namespace jujuberock::journal {

using CallHandle = uint64_t;
// Names one message to another host, for its reply.
using AskId = uint64_t;

struct SendPermitAction {
  AskId ask = 0;
  HostId to;
  PermitRequest request;
};

struct SendOutcomesAction {
  AskId ask = 0;
  HostId to;
  OutcomeRequest request;
};

struct NodeActions {
  std::vector<SendPermitAction> permits;
  std::vector<SendOutcomesAction> outcomes;
  // Platform operations; each read and write must be answered exactly once.
  std::vector<ReadAction> reads;
  std::vector<WriteAction> writes;
  std::vector<std::string> deletes;
  std::vector<PermitReplyAction> permit_replies;
  std::vector<OutcomeReplyAction> outcome_replies;
  // Calls to forward to an endpoint now.
  std::vector<CallHandle> forwards;
  std::vector<CallHandle> status_queries;
  std::vector<std::pair<CallHandle, CallResult>> answers;

  bool empty() const {
    return this->permits.empty() && this->outcomes.empty() &&
           this->reads.empty() && this->writes.empty() &&
           this->deletes.empty() && this->permit_replies.empty() &&
           this->outcome_replies.empty() && this->forwards.empty() &&
           this->status_queries.empty() && this->answers.empty();
  }
};

// Everything that one host decides about non-idempotent calls: its calls, the
// shards that it owns, and outcomes that no owner has confirmed. Holds no
// socket, clock or thread; see Service for the I/O around it.
class Node {
 public:
  using HostOrder = std::function<std::vector<HostId>(ShardId)>;

  // `incarnation` must differ between any two starts of the process.
  Node(const Options& options,
       HostId host,
       std::string incarnation,
       HostOrder hosts);

  // This host's callers.
  CallHandle StartCall(const CallRequest& request,
                       bool has_status_call,
                       common::TimePoint now,
                       common::UnixTime wall);
  [[nodiscard]] bool OnFirstByteWritten(CallHandle handle);
  void OnAnswer(CallHandle handle,
                const SavedAnswer& answer,
                common::TimePoint now,
                common::UnixTime wall);
  void OnConnectionLost(CallHandle handle,
                        common::ResultCode code,
                        common::TimePoint now,
                        common::UnixTime wall);
  void OnServiceState(CallHandle handle,
                      ServiceState state,
                      const SavedAnswer& answer,
                      common::TimePoint now,
                      common::UnixTime wall);

  // Messages of other hosts. `to` names the waiting party and must be below
  // kFirstLocalReply.
  static constexpr ReplyTo kFirstLocalReply = ReplyTo{1} << 63;
  void OnPermitMessage(const PermitRequest& request,
                       ReplyTo to,
                       common::TimePoint now,
                       common::UnixTime wall);
  void OnOutcomeMessage(const OutcomeRequest& request,
                        ReplyTo to,
                        common::TimePoint now,
                        common::UnixTime wall);

  // Replies to this host's messages; nothing when lost or too late.
  void OnPermitReply(AskId ask,
                     const std::optional<PermitReply>& reply,
                     common::TimePoint now,
                     common::UnixTime wall);
  void OnOutcomeReply(AskId ask,
                      const std::optional<OutcomeReply>& reply,
                      common::TimePoint now,
                      common::UnixTime wall);

  // Replies of the platform.
  void OnWriteReply(const std::string& name,
                    const std::string& token,
                    const platform::WriteResult& result,
                    common::TimePoint now,
                    common::UnixTime wall);
  void OnReadReply(const std::string& name,
                   bool ok,
                   const std::optional<platform::Object>& object,
                   common::TimePoint now,
                   common::UnixTime wall);

  void OnTick(common::TimePoint now, common::UnixTime wall);
  // Planned stop: takes over no shard any more.
  void StopTakingOver() { this->stopping = true; }
  // Commits and hands over now what would have waited.
  void Flush(common::TimePoint now, common::UnixTime wall);

  // What the calls since the last Take() want done.
  NodeActions Take() { return std::exchange(this->actions, {}); }
  // Whether Take() would return nothing.
  bool Quiet() const { return this->actions.empty(); }
  std::optional<common::TimePoint> NextWake() const;
  // No call, unconfirmed outcome or uncommitted change is left.
  bool settled() const;

  size_t owned_shards() const;
  size_t unconfirmed_outcomes() const { return this->unconfirmed.size(); }
  const ShardOwner* FindOwner(ShardId shard) const;

 private:
  struct ActiveCall {
    explicit ActiveCall(Call call) : call(std::move(call)) {}

    Call call;
    // Asks that failed; chooses the next host.
    size_t failures = 0;
    // The owner as named by a host that is not.
    HostId owner_hint;
    // The last ask went to such a host.
    bool asked_hint = false;
    // A named owner could not be reached, so names are of no use.
    bool ignore_hints = false;
    std::optional<common::TimePoint> ask_at;
  };
  struct Unconfirmed {
    OutcomeReport report;
    size_t failures = 0;
    // The message that carries the report and is not answered yet.
    std::optional<AskId> in_flight;
  };
  // What this host remembers of its own calls.
  struct Remembered {
    std::string request_hash;
    bool done = false;
    SavedAnswer answer;
  };
  struct HeldMessage {
    std::optional<PermitRequest> permit;
    std::optional<OutcomeRequest> outcomes;
    ReplyTo to = 0;
  };
  enum class Layout { kUnchecked, kReading, kWriting, kConfirmed, kRefused };

  std::optional<CallResult> AnswerFromMemory(const CallRequest& request) const;
  void ApplyCall(CallHandle handle,
                 const CallActions& wanted,
                 common::TimePoint now,
                 common::UnixTime wall);
  void Ask(CallHandle handle, common::TimePoint now, common::UnixTime wall);
  void OnReplyToCall(CallHandle handle,
                     const std::optional<PermitReply>& reply,
                     common::TimePoint now,
                     common::UnixTime wall);
  void Wake(CallHandle handle, common::TimePoint when);
  void Remember(const CallRequest& request, bool done, SavedAnswer answer);
  void AddReport(const OutcomeReport& report,
                 common::TimePoint now,
                 common::UnixTime wall);
  // Sends those of the shard's reports that are not under way.
  void SendOutcomes(ShardId shard,
                    const std::vector<CallId>& call_ids,
                    common::TimePoint now,
                    common::UnixTime wall);
  void ResendOutcomes(common::TimePoint now, common::UnixTime wall);
  std::vector<OutcomeReport> OutcomesOf(const CallKey& key) const;
  void Confirm(const CallId& call_id);
  void OnReplyToOutcomes(AskId ask, bool accepted, common::TimePoint now);
  HostId HostFor(ShardId shard, size_t failures) const;
  // The host that others should ask while this one stops.
  HostId Successor(ShardId shard) const;

  void HandlePermit(const PermitRequest& request,
                    ReplyTo to,
                    common::TimePoint now,
                    common::UnixTime wall);
  void HandleOutcomes(const OutcomeRequest& request,
                      ReplyTo to,
                      common::TimePoint now,
                      common::UnixTime wall);
  ShardOwner& OwnerOf(ShardId shard);
  ShardOwner* OwnerOfObject(const std::string& name);
  void ApplyOwner(OwnerActions wanted,
                  common::TimePoint now,
                  common::UnixTime wall);
  bool Hold(HeldMessage message);
  void OnLayoutRead(bool ok,
                    const std::optional<platform::Object>& object,
                    common::TimePoint now,
                    common::UnixTime wall);
  void FinishLayout(Layout result,
                    common::TimePoint now,
                    common::UnixTime wall);
  std::string MakeToken();

  const Options& options;
  HostId host;
  std::string incarnation;
  HostOrder hosts;
  uint64_t next_id = 1;

  std::map<CallHandle, ActiveCall> calls;
  std::map<CallKey, CallHandle> calls_by_key;
  // Times at which a call may want something; entries may be out of date.
  std::multimap<common::TimePoint, CallHandle> wakes;
  std::map<AskId, CallHandle> asks;
  std::map<AskId, std::vector<CallId>> outcome_asks;
  std::map<CallId, Unconfirmed> unconfirmed;
  std::map<CallKey, std::set<CallId>> unconfirmed_by_key;
  // When reports are sent again; entries may be out of date.
  std::multimap<common::TimePoint, CallId> resends;
  std::map<CallKey, Remembered> memory;
  std::deque<CallKey> memory_order;

  std::map<ShardId, std::unique_ptr<ShardOwner>> owners;
  Layout layout = Layout::kUnchecked;
  std::optional<common::TimePoint> layout_retry;
  std::vector<HeldMessage> held;
  bool stopping = false;
  NodeActions actions;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_NODE_H_
