// The part of a node that serves other hosts: shard owners and the layout.

#include <algorithm>

#include "core/common/error.h"
#include "core/journal/node.h"

namespace jujuberock::journal {

using common::TimePoint;
using common::UnixTime;
using platform::WriteState;

void Node::OnPermitMessage(const PermitRequest& request,
                           ReplyTo to,
                           TimePoint now,
                           UnixTime wall) {
  this->HandlePermit(request, to, now, wall);
}

void Node::OnOutcomeMessage(const OutcomeRequest& request,
                            ReplyTo to,
                            TimePoint now,
                            UnixTime wall) {
  this->HandleOutcomes(request, to, now, wall);
}

void Node::HandlePermit(const PermitRequest& request,
                        ReplyTo to,
                        TimePoint now,
                        UnixTime wall) {
  // A host with another number of shards would use another owner for the key.
  if (request.shard != ShardOf(request.key, this->options.shards) ||
      this->layout == Layout::kRefused) {
    OwnerActions refusal;
    refusal.permits.push_back({to, {}});
    this->ApplyOwner(std::move(refusal), now, wall);
    return;
  }
  if (this->stopping && !this->OwnerOf(request.shard).active()) {
    OwnerActions refusal;
    PermitReply reply;
    reply.verdict = PermitVerdict::kNotOwner;
    reply.owner = this->Successor(request.shard);
    refusal.permits.push_back({to, std::move(reply)});
    this->ApplyOwner(std::move(refusal), now, wall);
    return;
  }
  if (this->Hold({request, {}, to}))
    return;
  this->ApplyOwner(
      this->OwnerOf(request.shard).OnPermitRequest(request, to, now, wall), now,
      wall);
}

void Node::HandleOutcomes(const OutcomeRequest& request,
                          ReplyTo to,
                          TimePoint now,
                          UnixTime wall) {
  if (request.shard >= this->options.shards ||
      this->layout == Layout::kRefused) {
    OwnerActions refusal;
    refusal.outcomes.push_back({to, {}});
    this->ApplyOwner(std::move(refusal), now, wall);
    return;
  }
  if (this->stopping && !this->OwnerOf(request.shard).active()) {
    OwnerActions refusal;
    refusal.outcomes.push_back({to, {}});
    this->ApplyOwner(std::move(refusal), now, wall);
    return;
  }
  if (this->Hold({{}, request, to}))
    return;
  this->ApplyOwner(
      this->OwnerOf(request.shard).OnOutcome(request, to, now, wall), now,
      wall);
}

HostId Node::Successor(ShardId shard) const {
  for (const HostId& other : this->hosts(shard)) {
    if (other != this->host)
      return other;
  }
  return {};
}

ShardOwner& Node::OwnerOf(ShardId shard) {
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

ShardOwner* Node::OwnerOfObject(const std::string& name) {
  const std::optional<ShardId> shard = ShardOfObject(name);
  if (!shard)
    return nullptr;
  auto found = this->owners.find(*shard);
  return found == this->owners.end() ? nullptr : found->second.get();
}

void Node::ApplyOwner(OwnerActions wanted, TimePoint now, UnixTime wall) {
  for (ReadAction& read : wanted.reads)
    this->actions.reads.push_back(std::move(read));
  for (WriteAction& write : wanted.writes)
    this->actions.writes.push_back(std::move(write));
  for (std::string& name : wanted.deletes)
    this->actions.deletes.push_back(std::move(name));
  for (PermitReplyAction& reply : wanted.permits) {
    if (reply.to >= kFirstLocalReply)
      this->OnPermitReply(reply.to - kFirstLocalReply, reply.reply, now, wall);
    else
      this->actions.permit_replies.push_back(std::move(reply));
  }
  for (const OutcomeReplyAction& reply : wanted.outcomes) {
    if (reply.to >= kFirstLocalReply)
      this->OnReplyToOutcomes(reply.to - kFirstLocalReply, reply.reply.accepted,
                              now);
    else
      this->actions.outcome_replies.push_back(reply);
  }
}

void Node::OnWriteReply(const std::string& name,
                        const std::string& token,
                        const platform::WriteResult& result,
                        TimePoint now,
                        UnixTime wall) {
  if (name == kLayoutName) {
    // Whatever became of it, the object tells.
    this->layout = Layout::kReading;
    if (result.state == WriteState::kRejected)
      this->layout_retry = now + this->options.platform_retry;
    else
      this->actions.reads.push_back({kLayoutName});
    return;
  }
  if (ShardOwner* owner = this->OwnerOfObject(name))
    this->ApplyOwner(owner->OnWriteReply(name, token, result, now, wall), now,
                     wall);
}

void Node::OnReadReply(const std::string& name,
                       bool ok,
                       const std::optional<platform::Object>& object,
                       TimePoint now,
                       UnixTime wall) {
  if (name == kLayoutName) {
    this->OnLayoutRead(ok, object, now, wall);
    return;
  }
  if (ShardOwner* owner = this->OwnerOfObject(name))
    this->ApplyOwner(owner->OnReadReply(name, ok, object, now, wall), now,
                     wall);
}

bool Node::Hold(HeldMessage message) {
  if (this->layout == Layout::kConfirmed)
    return false;
  this->held.push_back(std::move(message));
  if (this->layout == Layout::kUnchecked) {
    this->layout = Layout::kReading;
    this->actions.reads.push_back({kLayoutName});
  }
  return true;
}

void Node::OnLayoutRead(bool ok,
                        const std::optional<platform::Object>& object,
                        TimePoint now,
                        UnixTime wall) {
  if (!ok) {
    this->layout_retry = now + this->options.platform_retry;
    return;
  }
  if (!object) {
    this->layout = Layout::kWriting;
    this->actions.writes.push_back({kLayoutName, 0,
                                    RenderLayout(this->options.shards),
                                    this->MakeToken()});
    return;
  }
  try {
    const bool same = ParseLayout(object->body) == this->options.shards;
    this->FinishLayout(same ? Layout::kConfirmed : Layout::kRefused, now, wall);
  } catch (const common::Error&) {
    this->FinishLayout(Layout::kRefused, now, wall);
  }
}

void Node::FinishLayout(Layout result, TimePoint now, UnixTime wall) {
  this->layout = result;
  for (HeldMessage& message : std::exchange(this->held, {})) {
    if (message.permit)
      this->HandlePermit(*message.permit, message.to, now, wall);
    else
      this->HandleOutcomes(*message.outcomes, message.to, now, wall);
  }
}

std::string Node::MakeToken() {
  return this->host + "/" + this->incarnation + "/w" +
         std::to_string(this->next_id++);
}

}  // namespace jujuberock::journal
