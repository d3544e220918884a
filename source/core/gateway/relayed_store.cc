#include "core/gateway/relayed_store.h"

#include <algorithm>
#include <utility>

#include "core/common/error.h"

namespace jujuberock::gateway {

namespace {

using catalog::ObjectKind;
using catalog::ObjectSource;
using common::Duration;
using common::Error;
using common::ResultCode;
using common::TimePoint;
using events::Event;
using events::Field;
using events::LogLine;
using relay::RelayAnswer;
using relay::RelayHost;
using relay::RelayRequest;
using relay::RelayStatus;

constexpr const char* kStoreSource = "store";

std::string DependencyOf(ObjectKind kind) {
  return "store:" + std::string(catalog::kObjectKindNames.NameOf(kind));
}

// Earliest time of the store's confirmation of a relay's answer.
TimePoint ConfirmedAt(const RelayAnswer& answer,
                      TimePoint asked_at,
                      TimePoint now) {
  return std::min(asked_at - answer.age, now);
}

}  // namespace

RelayedStore::RelayedStore(Options options,
                           catalog::ObjectStore& direct,
                           RelayTransport& transport,
                           events::EventLog& log,
                           common::MetricRegistry& counters,
                           std::function<TimePoint()> now)
    : options(std::move(options)),
      direct(direct),
      transport(transport),
      log(log),
      relay_answers(
          counters.GetCounter("view_answers_total", {{"source", "relay"}})),
      direct_answers(
          counters.GetCounter("view_answers_total", {{"source", "store"}})),
      rejected_answers(counters.GetCounter("relay_answers_rejected_total")),
      now(std::move(now)),
      choice(this->options.choice),
      stall_detector(this->options.stall_threshold),
      relays_name("relay:" + this->options.choice.zone) {}

std::optional<RelayAnswer> RelayedStore::Answer(const RelayRequest& request,
                                                TimePoint arrived_at,
                                                TimePoint now) {
  this->choice.OnAsked(now);
  return this->mirror.Answer(request, arrived_at, now);
}

uint64_t RelayedStore::era() const {
  return std::max(this->direct.era(), this->relayed_era);
}

catalog::ObjectSnapshot RelayedStore::List(ObjectKind kind) {
  if (!this->IsRelayed(kind))
    return this->direct.List(kind);
  const TimePoint began_at = this->now();
  auto relayed = this->AskRelays(kind, std::nullopt, Duration(0));
  if (!relayed) {
    catalog::ObjectSnapshot snapshot = this->ListDirect(kind);
    snapshot.answer_age.age =
        began_at - this->mirror.PositionOf(kind)->confirmed_at;
    return snapshot;
  }
  catalog::ObjectSnapshot snapshot;
  snapshot.revision = relayed->answer.revision;
  snapshot.answer_age = {ObjectSource::kRelay,
                         began_at - relayed->confirmed_at};
  for (catalog::ObjectChange& change : relayed->answer.changes)
    snapshot.objects.push_back(std::move(change.object));
  this->mirror.OnList(
      kind, snapshot,
      {ObjectSource::kRelay, relayed->answer.era, relayed->confirmed_at});
  return snapshot;
}

catalog::ObjectChanges RelayedStore::Watch(ObjectKind kind,
                                           uint64_t revision,
                                           Duration longest_wait) {
  if (!this->IsRelayed(kind))
    return this->direct.Watch(kind, revision, longest_wait);
  const Duration wait = this->LimitWait(kind, longest_wait);
  const TimePoint began_at = this->now();
  const auto position = this->mirror.PositionOf(kind);
  catalog::ObjectChanges changes;
  changes.revision = revision;
  changes.history_gone = !position || position->revision != revision;
  if (changes.history_gone)
    return changes;
  auto relayed = this->AskRelays(kind, revision, wait);
  if (!relayed)
    return this->WatchDirect(kind, revision, wait, began_at);
  const RelayAnswer& answer = relayed->answer;
  changes.history_gone =
      answer.status == RelayStatus::kHistoryGone || answer.era != position->era;
  if (changes.history_gone)
    return changes;
  changes.revision = answer.revision;
  changes.changes = answer.changes;
  changes.answer_age = {ObjectSource::kRelay, began_at - relayed->confirmed_at};
  if (relayed->changed_after)
    changes.change_age = began_at - *relayed->changed_after;
  this->mirror.OnChanges(
      kind, revision, changes,
      {ObjectSource::kRelay, answer.era, relayed->confirmed_at},
      relayed->changed_after);
  return changes;
}

Duration RelayedStore::LimitWait(ObjectKind kind, Duration wait) const {
  const TimePoint now = this->now();
  const bool has_relays =
      this->choice.IsRelay(now) || this->choice.IsFollower(now);
  return has_relays && kind == ObjectKind::kEndpoints
             ? std::min(wait, kMaxEndpointsWait)
             : wait;
}

Duration RelayedStore::WaitFor(Duration wait, Duration age) const {
  return std::clamp(wait + kSpareWait - age, std::min(kMinWait, wait), wait);
}

std::optional<RelayedStore::RelayedRead> RelayedStore::AskRelays(
    ObjectKind kind,
    std::optional<uint64_t> revision,
    Duration wait) {
  bool is_store_failing = false;
  bool have_asked = false;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const TimePoint asked_at = this->now();
    const auto host = this->choice.Choose(asked_at);
    const auto position = this->mirror.PositionOf(kind);
    const Duration age =
        position ? asked_at - position->confirmed_at : Duration(0);
    // Several relays may be silent at the same time, and each takes a time-out
    // to notice, so only a young view is looked for at another one.
    const bool was_silent = have_asked && !is_store_failing;
    const Duration max_age = was_silent ? wait : wait + kMaxExtraAge;
    const bool is_too_old = revision && age >= max_age;
    if (!host || (is_too_old && was_silent))
      break;
    RelayRequest request;
    request.kind = kind;
    request.revision = revision;
    request.era = position && revision ? position->era : this->era();
    request.age = age;
    // With an old view, or after another relay has failed, what the relay has
    // is wanted at once.
    if (!is_too_old && !have_asked)
      request.wait = std::min(this->WaitFor(wait, age), this->options.max_wait);
    have_asked = true;
    this->StateOf(kind).is_watching_store = false;
    auto read = this->AskRelay(*host, request);
    if (!read)
      continue;
    is_store_failing |= read->answer.status == RelayStatus::kStoreFailing;
    const bool has_news =
        !position || read->confirmed_at > position->confirmed_at;
    const bool is_still_old =
        is_too_old && this->now() - read->confirmed_at >= max_age;
    if (is_still_old)
      this->choice.OnRefused(host->name, this->now());
    if (read->answer.status == RelayStatus::kStoreFailing || is_still_old ||
        (is_store_failing && !has_news))
      continue;
    this->relay_answers.Add();
    this->StateOf(kind).direct_allowed_at.reset();
    this->relayed_era = std::max(this->relayed_era, read->answer.era);
    this->NoteSource(kind, host->name);
    this->NoteRelays(true);
    return read;
  }
  if (have_asked)
    this->NoteRelays(false);
  auto& allowed_at = this->StateOf(kind).direct_allowed_at;
  if (is_store_failing && !allowed_at)
    allowed_at = this->now() + kFirstDirectPause;
  return std::nullopt;
}

std::optional<RelayedStore::RelayedRead> RelayedStore::AskRelay(
    const RelayHost& host,
    const RelayRequest& request) {
  const TimePoint asked_at = this->now();
  RelayedRead read;
  try {
    read.answer = this->transport.Ask(host.address, request);
  } catch (const Error& error) {
    this->choice.OnSilent(host.name, this->now());
    this->LogRejected(host, error.what());
    return std::nullopt;
  }
  const std::string_view fault = this->FaultOf(request, read.answer);
  if (!fault.empty()) {
    this->choice.OnRefused(host.name, this->now());
    this->LogRejected(host, fault);
    return std::nullopt;
  }
  if (read.answer.status == RelayStatus::kStoreFailing)
    this->choice.OnRefused(host.name, this->now());
  else
    this->choice.OnAnswer(host.name);
  read.confirmed_at = ConfirmedAt(read.answer, asked_at, this->now());
  if (read.answer.change_age)
    read.changed_after = asked_at - *read.answer.change_age;
  return read;
}

std::string_view RelayedStore::FaultOf(const RelayRequest& request,
                                       const RelayAnswer& answer) const {
  if (answer.status == RelayStatus::kStoreFailing)
    return {};
  // Only changes can be unknown, a list can't.
  const bool is_usable =
      answer.status == RelayStatus::kView ||
      (answer.status == RelayStatus::kHistoryGone && request.revision);
  if (!is_usable)
    return relay::kRelayStatusNames.NameOf(answer.status);
  if (answer.era < this->era())
    return "former_era";
  const auto position = this->mirror.PositionOf(request.kind);
  const bool is_older = answer.status == RelayStatus::kView && position &&
                        position->era == answer.era &&
                        answer.revision < position->revision;
  return is_older ? "older_revision" : std::string_view();
}

void RelayedStore::LogRejected(const RelayHost& host, std::string_view reason) {
  this->rejected_answers.Add();
  LogLine(this->log, Event::kRelayAnswerRejected)
      .Add(Field::kDependency, this->relays_name)
      .Add(Field::kDetail, host.name)
      .Add(Field::kReason, reason);
}

void RelayedStore::NoteSource(ObjectKind kind, const std::string& source) {
  KindState& state = this->StateOf(kind);
  if (state.source == source)
    return;
  state.source = source;
  LogLine(this->log, Event::kViewSource)
      .Add(Field::kDependency, DependencyOf(kind))
      .Add(Field::kDetail, source);
}

void RelayedStore::NoteRelays(bool have_answered) {
  if (this->are_relays_lost == !have_answered)
    return;
  this->are_relays_lost = !have_answered;
  LogLine(this->log,
          have_answered ? Event::kDependencyRegained : Event::kDependencyLost)
      .Add(Field::kDependency, this->relays_name);
}

void RelayedStore::CheckDirectRetry(ObjectKind kind) {
  const TimePoint now = this->now();
  const auto allowed_at = this->StateOf(kind).direct_allowed_at;
  if (allowed_at && now < *allowed_at && this->choice.IsFollower(now))
    throw Error(ResultCode::kPlatformUnavailable,
                "neither the relays nor the store answer");
}

void RelayedStore::CheckDirectEra() const {
  if (this->direct.era() < this->relayed_era)
    throw Error(ResultCode::kPlatformUnavailable,
                "the store's answer is of a former era",
                common::Outcome::kUnknown);
}

catalog::ObjectSnapshot RelayedStore::ListDirect(ObjectKind kind) {
  this->CheckDirectRetry(kind);
  const TimePoint asked_at = this->now();
  try {
    catalog::ObjectSnapshot snapshot = this->direct.List(kind);
    this->CheckDirectEra();
    this->mirror.OnList(kind, snapshot,
                        this->DirectOrigin(snapshot.answer_age.EarliestAt(
                            asked_at, this->now())));
    this->OnDirectAnswer(kind);
    return snapshot;
  } catch (const Error&) {
    this->OnDirectFailure(kind);
    throw;
  }
}

catalog::ObjectChanges RelayedStore::WatchDirect(ObjectKind kind,
                                                 uint64_t revision,
                                                 Duration wait,
                                                 TimePoint began_at) {
  this->CheckDirectRetry(kind);
  const TimePoint asked_at = this->now();
  const TimePoint former = this->mirror.PositionOf(kind)->confirmed_at;
  // An answer with changes confirms no more than what the store had when the
  // watch began. The next confirmation comes sooner for it, so that followers
  // need not ask the store.
  const Duration next_wait = this->WaitFor(wait, asked_at - former);
  try {
    catalog::ObjectChanges changes =
        this->direct.Watch(kind, revision, next_wait);
    this->CheckDirectEra();
    if (changes.history_gone)
      return changes;
    const TimePoint confirmed_at =
        changes.answer_age.EarliestAt(asked_at, this->now());
    // An uninterrupted watch reports a change at once, unless this process
    // could not read it.
    const TimePoint changed_after =
        this->StateOf(kind).is_watching_store
            ? this->stall_detector.EarliestArrival(this->now())
            : former;
    changes.answer_age.age = began_at - confirmed_at;
    changes.change_age = began_at - changed_after;
    this->mirror.OnChanges(kind, revision, changes,
                           this->DirectOrigin(confirmed_at), changed_after);
    this->OnDirectAnswer(kind);
    return changes;
  } catch (const Error&) {
    this->OnDirectFailure(kind);
    throw;
  }
}

void RelayedStore::OnDirectAnswer(ObjectKind kind) {
  this->direct_answers.Add();
  this->StateOf(kind).is_watching_store = true;
  this->StateOf(kind).direct_allowed_at.reset();
  this->NoteSource(kind, kStoreSource);
  this->NotifyMirrorChanged();
}

void RelayedStore::OnDirectFailure(ObjectKind kind) {
  this->StateOf(kind).is_watching_store = false;
  this->StateOf(kind).direct_allowed_at = this->now() + kDirectRetryPause;
  this->mirror.OnStoreFailure(kind);
  this->NotifyMirrorChanged();
}

void RelayedStore::NotifyMirrorChanged() {
  if (this->on_mirror_changed)
    this->on_mirror_changed();
}

}  // namespace jujuberock::gateway
