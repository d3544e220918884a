// The owner side of HostJournal: shard owners and the stored number of shards.

#include <algorithm>

#include "core/common/error.h"
#include "core/journal/host_journal.h"

namespace jujuberock::journal {

using common::TimePoint;
using common::UnixTime;
using platform::WriteState;

void HostJournal::OnPermitMessage(const PermitRequest& request,
                                  ReplyTo to,
                                  TimePoint now,
                                  UnixTime wall) {
  this->HandlePermit(request, to, now, wall);
}

void HostJournal::OnOutcomeMessage(const OutcomeRequest& request,
                                   ReplyTo to,
                                   TimePoint now,
                                   UnixTime wall) {
  this->HandleOutcomes(request, to, now, wall);
}

void HostJournal::HandlePermit(const PermitRequest& request,
                               ReplyTo to,
                               TimePoint now,
                               UnixTime wall) {
  // A host configured with a different number of shards would use a different
  // owner for the key.
  if (request.shard != ShardOf(request.key, this->options.shards) ||
      this->layout_state == LayoutState::kRefused) {
    OwnerActions refusal;
    refusal.permits.push_back({to, {}});
    this->ApplyOwnerActions(std::move(refusal), now, wall);
    return;
  }
  if (this->stopping && !this->GetOrCreateOwner(request.shard).active()) {
    OwnerActions refusal;
    PermitReply reply;
    reply.decision = PermitDecision::kNotOwner;
    reply.owner = this->Successor(request.shard);
    refusal.permits.push_back({to, std::move(reply)});
    this->ApplyOwnerActions(std::move(refusal), now, wall);
    return;
  }
  if (this->DeferMessage({request, {}, to}))
    return;
  this->ApplyOwnerActions(this->GetOrCreateOwner(request.shard)
                              .OnPermitRequest(request, to, now, wall),
                          now, wall);
}

void HostJournal::HandleOutcomes(const OutcomeRequest& request,
                                 ReplyTo to,
                                 TimePoint now,
                                 UnixTime wall) {
  if (request.shard >= this->options.shards ||
      this->layout_state == LayoutState::kRefused) {
    OwnerActions refusal;
    refusal.outcomes.push_back({to, {}});
    this->ApplyOwnerActions(std::move(refusal), now, wall);
    return;
  }
  if (this->stopping && !this->GetOrCreateOwner(request.shard).active()) {
    OwnerActions refusal;
    refusal.outcomes.push_back({to, {}});
    this->ApplyOwnerActions(std::move(refusal), now, wall);
    return;
  }
  if (this->DeferMessage({{}, request, to}))
    return;
  this->ApplyOwnerActions(
      this->GetOrCreateOwner(request.shard).OnOutcome(request, to, now, wall),
      now, wall);
}

HostId HostJournal::Successor(ShardId shard) const {
  for (const HostId& other : this->hosts(shard)) {
    if (other != this->host)
      return other;
  }
  return {};
}

ShardOwner& HostJournal::GetOrCreateOwner(ShardId shard) {
  std::unique_ptr<ShardOwner>& owner = this->owners[shard];
  if (!owner) {
    auto is_live = [this, shard](const HostId& other) {
      const std::vector<HostId> order = this->hosts(shard);
      return std::find(order.begin(), order.end(), other) != order.end();
    };
    owner =
        std::make_unique<ShardOwner>(this->options, shard, this->host, is_live,
                                     [this] { return this->MakeToken(); });
  }
  return *owner;
}

ShardOwner* HostJournal::FindOwnerOfObject(const std::string& name) {
  const std::optional<ShardId> shard = ShardOfObject(name);
  if (!shard)
    return nullptr;
  auto found = this->owners.find(*shard);
  return found == this->owners.end() ? nullptr : found->second.get();
}

void HostJournal::ApplyOwnerActions(OwnerActions owner_actions,
                                    TimePoint now,
                                    UnixTime wall) {
  for (ReadAction& read : owner_actions.reads)
    this->actions.reads.push_back(std::move(read));
  for (WriteAction& write : owner_actions.writes)
    this->actions.writes.push_back(std::move(write));
  for (std::string& name : owner_actions.deletes)
    this->actions.deletes.push_back(std::move(name));
  for (PermitReplyAction& reply : owner_actions.permits) {
    if (reply.to >= kFirstLocalReply)
      this->OnPermitReply(reply.to - kFirstLocalReply, reply.reply, now, wall);
    else
      this->actions.permit_replies.push_back(std::move(reply));
  }
  for (const OutcomeReplyAction& reply : owner_actions.outcomes) {
    if (reply.to >= kFirstLocalReply)
      this->OnReplyToOutcomes(reply.to - kFirstLocalReply, reply.reply.accepted,
                              now);
    else
      this->actions.outcome_replies.push_back(reply);
  }
}

void HostJournal::OnWriteReply(const std::string& name,
                               const std::string& token,
                               const platform::WriteResult& result,
                               TimePoint now,
                               UnixTime wall) {
  if (name == kLayoutName) {
    // Reads the object back, whatever the result of the write.
    this->layout_state = LayoutState::kReading;
    if (result.state == WriteState::kRejected)
      this->layout_retry = now + this->options.platform_retry;
    else
      this->actions.reads.push_back({kLayoutName});
    return;
  }
  if (ShardOwner* owner = this->FindOwnerOfObject(name))
    this->ApplyOwnerActions(owner->OnWriteReply(name, token, result, now, wall),
                            now, wall);
}

void HostJournal::OnReadReply(const std::string& name,
                              bool ok,
                              const std::optional<platform::Object>& object,
                              TimePoint now,
                              UnixTime wall) {
  if (name == kLayoutName) {
    this->OnLayoutRead(ok, object, now, wall);
    return;
  }
  if (ShardOwner* owner = this->FindOwnerOfObject(name))
    this->ApplyOwnerActions(owner->OnReadReply(name, ok, object, now, wall),
                            now, wall);
}

bool HostJournal::DeferMessage(DeferredMessage message) {
  if (this->layout_state == LayoutState::kConfirmed)
    return false;
  this->deferred_messages.push_back(std::move(message));
  if (this->layout_state == LayoutState::kUnchecked) {
    this->layout_state = LayoutState::kReading;
    this->actions.reads.push_back({kLayoutName});
  }
  return true;
}

void HostJournal::OnLayoutRead(bool ok,
                               const std::optional<platform::Object>& object,
                               TimePoint now,
                               UnixTime wall) {
  if (!ok) {
    this->layout_retry = now + this->options.platform_retry;
    return;
  }
  if (!object) {
    this->layout_state = LayoutState::kWriting;
    this->actions.writes.push_back({kLayoutName, 0,
                                    RenderLayout(this->options.shards),
                                    this->MakeToken()});
    return;
  }
  try {
    const bool same = ParseLayout(object->body) == this->options.shards;
    this->FinishLayout(same ? LayoutState::kConfirmed : LayoutState::kRefused,
                       now, wall);
  } catch (const common::Error&) {
    this->FinishLayout(LayoutState::kRefused, now, wall);
  }
}

void HostJournal::FinishLayout(LayoutState result,
                               TimePoint now,
                               UnixTime wall) {
  this->layout_state = result;
  for (DeferredMessage& message : std::exchange(this->deferred_messages, {})) {
    if (message.permit)
      this->HandlePermit(*message.permit, message.to, now, wall);
    else
      this->HandleOutcomes(*message.outcomes, message.to, now, wall);
  }
}

std::string HostJournal::MakeToken() {
  return this->host + "/" + this->incarnation + "/w" +
         std::to_string(this->next_id++);
}

}  // namespace jujuberock::journal
