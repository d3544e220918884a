#ifndef CORE_JOURNAL_HOST_JOURNAL_H_
#define CORE_JOURNAL_HOST_JOURNAL_H_

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
// Identifies a message to an owner, to match its reply.
using MessageId = uint64_t;

struct SendPermitAction {
  MessageId message_id = 0;
  HostId to;
  PermitRequest request;
};

struct SendOutcomesAction {
  MessageId message_id = 0;
  HostId to;
  OutcomeRequest request;
};

struct HostActions {
  std::vector<SendPermitAction> permits;
  std::vector<SendOutcomesAction> outcomes;
  // Platform operations. Each read and write must be answered exactly once.
  std::vector<ReadAction> reads;
  std::vector<WriteAction> writes;
  std::vector<std::string> deletes;
  std::vector<PermitReplyAction> permit_replies;
  std::vector<OutcomeReplyAction> outcome_replies;
  // Calls to forward to an endpoint.
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

// State machine of the journal on one host: the calls of its callers, the
// shards it owns, and the outcomes that no owner has confirmed. Performs no I/O
// and uses no clock or thread; Service drives it.
class HostJournal {
 public:
  using HostOrder = std::function<std::vector<HostId>(ShardId)>;

  // `incarnation` must be unique for each start of the process.
  HostJournal(const Options& options,
              HostId host,
              std::string incarnation,
              HostOrder hosts);

  // Events of calls that this host received.
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
  void OnServiceCallState(CallHandle handle,
                          ServiceCallState state,
                          const SavedAnswer& answer,
                          common::TimePoint now,
                          common::UnixTime wall);

  // Messages from other hosts. `to` identifies the waiting handler and must be
  // below kFirstLocalReply.
  static constexpr ReplyTo kFirstLocalReply = ReplyTo{1} << 63;
  void OnPermitMessage(const PermitRequest& request,
                       ReplyTo to,
                       common::TimePoint now,
                       common::UnixTime wall);
  void OnOutcomeMessage(const OutcomeRequest& request,
                        ReplyTo to,
                        common::TimePoint now,
                        common::UnixTime wall);

  // Replies to messages of this host; nullopt if lost or timed out.
  void OnPermitReply(MessageId message_id,
                     const std::optional<PermitReply>& reply,
                     common::TimePoint now,
                     common::UnixTime wall);
  void OnOutcomeReply(MessageId message_id,
                      const std::optional<OutcomeReply>& reply,
                      common::TimePoint now,
                      common::UnixTime wall);

  // Results of platform operations.
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
  // For a graceful shutdown: no shard is taken over from now on.
  void StopTakeovers() { this->stopping = true; }
  // Commits outcomes and sends reports without their usual delays.
  void Flush(common::TimePoint now, common::UnixTime wall);

  // Returns and clears the actions requested since the last TakeActions().
  HostActions TakeActions() { return std::exchange(this->actions, {}); }
  // Whether TakeActions() would return nothing.
  bool HasNoActions() const { return this->actions.empty(); }
  std::optional<common::TimePoint> NextWakeup() const;
  // No active call, unconfirmed outcome or uncommitted change remains.
  bool drained() const;

  size_t owned_shards() const;
  size_t unconfirmed_outcomes() const { return this->unconfirmed.size(); }
  const ShardOwner* FindOwner(ShardId shard) const;

 private:
  struct ActiveCall {
    explicit ActiveCall(Call call) : call(std::move(call)) {}

    Call call;
    // Failed permit requests; selects the host to try next.
    size_t failures = 0;
    // The owner according to a host that replied kNotOwner.
    HostId owner_hint;
    // The last permit request went to the hinted owner.
    bool sent_to_hint = false;
    // A hinted owner was unreachable, so further hints are ignored.
    bool ignore_hints = false;
    std::optional<common::TimePoint> request_at;
  };
  struct UnconfirmedReport {
    OutcomeReport report;
    size_t failures = 0;
    // The unanswered message that carries the report.
    std::optional<MessageId> in_flight;
  };
  // Outcome of a call that this host forwarded or replayed.
  struct LocalOutcome {
    std::string request_hash;
    bool done = false;
    SavedAnswer answer;
  };
  struct DeferredMessage {
    std::optional<PermitRequest> permit;
    std::optional<OutcomeRequest> outcomes;
    ReplyTo to = 0;
  };
  enum class LayoutState {
    kUnchecked,
    kReading,
    kWriting,
    kConfirmed,
    kRefused
  };

  std::optional<CallResult> AnswerLocally(const CallRequest& request) const;
  void ApplyCallActions(CallHandle handle,
                        const CallActions& call_actions,
                        common::TimePoint now,
                        common::UnixTime wall);
  void RequestPermit(CallHandle handle,
                     common::TimePoint now,
                     common::UnixTime wall);
  void OnReplyToCall(CallHandle handle,
                     const std::optional<PermitReply>& reply,
                     common::TimePoint now,
                     common::UnixTime wall);
  void ScheduleWakeup(CallHandle handle, common::TimePoint when);
  void RecordLocalOutcome(const CallRequest& request,
                          bool done,
                          SavedAnswer answer);
  void AddReport(const OutcomeReport& report,
                 common::TimePoint now,
                 common::UnixTime wall);
  // Sends the reports of these calls that are not in flight.
  void SendOutcomes(ShardId shard,
                    const std::vector<CallId>& call_ids,
                    common::TimePoint now,
                    common::UnixTime wall);
  void ResendOutcomes(common::TimePoint now, common::UnixTime wall);
  std::vector<OutcomeReport> UnconfirmedOutcomesOf(const CallKey& key) const;
  void RemoveConfirmed(const CallId& call_id);
  void OnReplyToOutcomes(MessageId message_id,
                         bool accepted,
                         common::TimePoint now);
  HostId SelectHost(ShardId shard, size_t failures) const;
  // The host that callers should use while this one is stopping.
  HostId Successor(ShardId shard) const;

  void HandlePermit(const PermitRequest& request,
                    ReplyTo to,
                    common::TimePoint now,
                    common::UnixTime wall);
  void HandleOutcomes(const OutcomeRequest& request,
                      ReplyTo to,
                      common::TimePoint now,
                      common::UnixTime wall);
  ShardOwner& GetOrCreateOwner(ShardId shard);
  ShardOwner* FindOwnerOfObject(const std::string& name);
  void ApplyOwnerActions(OwnerActions owner_actions,
                         common::TimePoint now,
                         common::UnixTime wall);
  bool DeferMessage(DeferredMessage message);
  void OnLayoutRead(bool ok,
                    const std::optional<platform::Object>& object,
                    common::TimePoint now,
                    common::UnixTime wall);
  void FinishLayout(LayoutState result,
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
  // Times at which a call may need attention; entries may be outdated.
  std::multimap<common::TimePoint, CallHandle> wakeups;
  std::map<MessageId, CallHandle> permit_messages;
  std::map<MessageId, std::vector<CallId>> outcome_messages;
  std::map<CallId, UnconfirmedReport> unconfirmed;
  std::map<CallKey, std::set<CallId>> unconfirmed_by_key;
  // Times at which reports are sent again; entries may be outdated.
  std::multimap<common::TimePoint, CallId> resends;
  std::map<CallKey, LocalOutcome> local_outcomes;
  std::deque<CallKey> local_outcome_order;

  std::map<ShardId, std::unique_ptr<ShardOwner>> owners;
  LayoutState layout_state = LayoutState::kUnchecked;
  std::optional<common::TimePoint> layout_retry;
  std::vector<DeferredMessage> deferred_messages;
  bool stopping = false;
  HostActions actions;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_HOST_JOURNAL_H_
