#include "core/gateway/part_monitor.h"

namespace jujuberock::gateway {

namespace {

// A part that crashes endpoints does so when they begin to answer. Runs that
// have been answered for longer are not the cause of a crash.
constexpr common::Duration kMaxCrashDelay = std::chrono::milliseconds(500);

bool IsPastCrashDelay(const dispatch::SendTicket& ticket,
                      common::TimePoint now) {
  return ticket.started && now - ticket.started_at > kMaxCrashDelay;
}

}  // namespace

PartMonitor::PartMonitor(suspects::PartSuspects& suspects,
                         const dispatch::Prompt* prompt)
    : suspects(suspects), prompt(prompt) {
  if (!prompt)
    return;
  for (size_t i = 0; i + 1 < prompt->parts.size(); ++i)
    this->fingerprints.push_back(
        suspects::PartFingerprintOf(prompt->parts[i].id));
}

std::optional<std::string> PartMonitor::FindBlocked(
    common::TimePoint now) const {
  const auto blocked = this->suspects.FindBlocked(this->fingerprints, now);
  if (!blocked)
    return std::nullopt;
  return this->prompt->parts[*blocked].id;
}

bool PartMonitor::MayBeTrial(common::TimePoint now) const {
  return this->suspects.MayBeTrial(this->fingerprints, now);
}

bool PartMonitor::TakeTrial(common::TimePoint now) {
  return this->suspects.TakeTrial(this->fingerprints, now);
}

void PartMonitor::OnEvent(const dispatch::SendTicket& ticket,
                          common::TimePoint now) {
  if (IsPastCrashDelay(ticket, now))
    this->OnAnswered(ticket, now);
}

void PartMonitor::OnAnswered(const dispatch::SendTicket& ticket,
                             common::TimePoint now) {
  if (this->is_sound || !ticket.started)
    return;
  this->is_sound = true;
  this->suspects.OnSound(this->fingerprints, ticket.started_at, now);
}

std::vector<suspects::PartInFlight> PartMonitor::PossibleCauses(
    const dispatch::SendTicket& ticket,
    common::TimePoint now) const {
  std::vector<suspects::PartInFlight> causes;
  if (IsPastCrashDelay(ticket, now))
    return causes;
  for (const suspects::Fingerprint part : this->fingerprints)
    causes.push_back({part, ticket.sent_at});
  return causes;
}

}  // namespace jujuberock::gateway
