#include "core/load/workload.h"

#include <cmath>

namespace jujuberock::load {

using routing::BlockKey;
using routing::kBlockTokens;

namespace {

// Keeps the keys of shared prefixes and of private histories distinct.
constexpr uint64_t kSharedKeySpace = 1ULL << 62;

// Maximum attempts to find a conversation whose gap is over.
constexpr int kMaxAttempts = 8;

uint64_t MixBits(uint64_t value) {
  value *= 0x9E3779B97F4A7C15ULL;
  return value ^ (value >> 29);
}

BlockKey KeyOf(uint64_t chain, uint64_t position) {
  const uint64_t high = MixBits(chain);
  return {high, MixBits(high + position)};
}

size_t DrawIndex(const std::vector<double>& shares, double at) {
  for (size_t i = 0; i + 1 < shares.size(); ++i) {
    if (at < shares[i])
      return i;
    at -= shares[i];
  }
  return shares.size() - 1;
}

}  // namespace

std::vector<double> TeamShares(size_t teams, double skew) {
  std::vector<double> shares;
  double sum = 0;
  for (size_t i = 0; i < teams; ++i) {
    shares.push_back(std::pow(static_cast<double>(i + 1), -skew));
    sum += shares.back();
  }
  for (double& share : shares)
    share /= sum;
  return shares;
}

Workload::Workload(const WorkloadParameters& parameters,
                   size_t zones,
                   uint64_t seed)
    : parameters(parameters),
      random(seed),
      team_shares(TeamShares(parameters.teams, parameters.team_skew)) {
  const size_t span =
      parameters.max_shared_blocks - parameters.min_shared_blocks + 1;
  for (size_t i = 0; i < parameters.teams * parameters.shared_prefixes_per_team;
       ++i) {
    this->shared_blocks.push_back(parameters.min_shared_blocks +
                                  this->random.NextBelow(span));
  }
  const auto count = static_cast<size_t>(parameters.turns_per_second *
                                         parameters.mean_gap_seconds);
  this->conversations.resize(count);
  for (size_t i = 0; i < count; ++i) {
    Conversation& conversation = this->conversations[i];
    conversation.team = DrawIndex(this->team_shares, this->random.NextDouble());
    conversation.zone = i % zones;
    this->StartConversation(conversation);
    // The run begins with conversations of every age.
    const size_t done = this->random.NextBelow(conversation.turns_left);
    for (size_t k = 0; k < done; ++k)
      this->GrowHistory(conversation);
    conversation.turns_left -= done;
    this->idle.push_back({i, common::TimePoint::min()});
  }
}

common::Duration Workload::NextDelay(double factor) {
  const double rate = this->parameters.turns_per_second * factor;
  return common::FromSeconds(this->random.Exponential(1 / rate));
}

std::optional<Turn> Workload::NextTurn(common::TimePoint now) {
  const auto gap = common::FromSeconds(this->parameters.min_gap_seconds);
  for (int i = 0; i < kMaxAttempts && !this->idle.empty(); ++i) {
    const size_t idle_index = this->random.NextBelow(this->idle.size());
    const Idle candidate = this->idle[idle_index];
    if (candidate.since != common::TimePoint::min() &&
        now - candidate.since < gap)
      continue;
    this->idle[idle_index] = this->idle.back();
    this->idle.pop_back();
    const Conversation& c = this->conversations[candidate.conversation];
    Turn turn;
    turn.conversation = candidate.conversation;
    turn.team = c.team;
    turn.zone = c.zone;
    for (uint64_t k = 0; k < c.shared_blocks; ++k)
      turn.keys.push_back(KeyOf(kSharedKeySpace + c.shared_prefix, k));
    const auto tokens = static_cast<uint64_t>(c.private_tokens);
    for (uint64_t k = 0; k < tokens / kBlockTokens; ++k)
      turn.keys.push_back(KeyOf(c.instance, k));
    turn.prompt_tokens = c.shared_blocks * kBlockTokens + tokens;
    turn.output_tokens = 1 + static_cast<uint64_t>(this->random.Exponential(
                                 this->parameters.mean_output_tokens));
    return turn;
  }
  return std::nullopt;
}

void Workload::EndTurn(size_t index, common::TimePoint now) {
  Conversation& conversation = this->conversations[index];
  if (--conversation.turns_left == 0)
    this->StartConversation(conversation);
  else
    this->GrowHistory(conversation);
  this->idle.push_back({index, now});
}

void Workload::StartConversation(Conversation& conversation) {
  conversation.instance = this->next_instance++;
  conversation.turns_left = 1 + static_cast<size_t>(this->random.Exponential(
                                    this->parameters.mean_turns - 1));
  conversation.private_tokens = this->parameters.first_blocks * kBlockTokens *
                                (0.5 + this->random.NextDouble());
  conversation.shared_blocks = 0;
  if (this->parameters.shared_prefixes_per_team > 0) {
    conversation.shared_prefix =
        conversation.team * this->parameters.shared_prefixes_per_team +
        this->random.NextBelow(this->parameters.shared_prefixes_per_team);
    conversation.shared_blocks =
        this->shared_blocks[conversation.shared_prefix];
  }
}

void Workload::GrowHistory(Conversation& conversation) {
  conversation.private_tokens += this->parameters.blocks_per_turn *
                                 kBlockTokens *
                                 (0.5 + this->random.NextDouble());
}

}  // namespace jujuberock::load
