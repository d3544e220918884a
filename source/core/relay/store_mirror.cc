#include "core/relay/store_mirror.h"

#include <algorithm>
#include <utility>

namespace jujuberock::relay {

namespace {

using catalog::ObjectChange;
using catalog::ObjectKind;
using catalog::ObjectSource;
using common::TimePoint;

RelayAnswer MakeAnswer(RelayStatus status,
                       const StoreMirror::Position& position) {
  RelayAnswer answer;
  answer.status = status;
  answer.era = position.era;
  answer.revision = position.revision;
  return answer;
}

}  // namespace

std::optional<StoreMirror::Position> StoreMirror::PositionOf(
    ObjectKind kind) const {
  const Kind& mirrored = this->Of(kind);
  if (!mirrored.is_known)
    return std::nullopt;
  return mirrored.position;
}

void StoreMirror::OnList(ObjectKind kind,
                         const catalog::ObjectSnapshot& snapshot,
                         const AnswerOrigin& origin) {
  Kind listed;
  listed.is_known = true;
  listed.is_direct = origin.source == ObjectSource::kStore;
  listed.position = {origin.era, snapshot.revision, origin.confirmed_at};
  for (const catalog::StoredObject& object : snapshot.objects) {
    if (!object.name.empty())
      listed.objects[object.name] = object;
  }
  this->Of(kind) = std::move(listed);
}

void StoreMirror::OnChanges(ObjectKind kind,
                            uint64_t since,
                            const catalog::ObjectChanges& changes,
                            const AnswerOrigin& origin,
                            std::optional<TimePoint> changed_after) {
  Kind& mirrored = this->Of(kind);
  const bool continues = mirrored.is_known &&
                         mirrored.position.era == origin.era &&
                         mirrored.position.revision == since;
  if (!continues)
    return;
  for (const ObjectChange& change : changes.changes) {
    if (change.deleted)
      mirrored.objects.erase(change.object.name);
    else if (!change.object.name.empty())
      mirrored.objects[change.object.name] = change.object;
  }
  mirrored.is_direct = origin.source == ObjectSource::kStore;
  mirrored.is_store_failing = false;
  mirrored.position = {
      origin.era, changes.revision,
      std::max(mirrored.position.confirmed_at, origin.confirmed_at)};
  AppendToLog(mirrored,
              {since, changes.revision, changed_after, changes.changes});
}

void StoreMirror::AppendToLog(Kind& mirrored, Batch batch) {
  const bool extends_empty = !mirrored.log.empty() && batch.changes.empty() &&
                             mirrored.log.back().changes.empty();
  if (extends_empty) {
    mirrored.log.back().revision = batch.revision;
    return;
  }
  mirrored.logged_changes += batch.changes.size();
  mirrored.log.push_back(std::move(batch));
  // Empty batches lie between others, so that they need no limit of their own.
  while (mirrored.logged_changes > kMaxChanges) {
    mirrored.logged_changes -= mirrored.log.front().changes.size();
    mirrored.log.pop_front();
  }
}

void StoreMirror::OnStoreFailure(ObjectKind kind) {
  this->Of(kind).is_store_failing = true;
}

RelayAnswer StoreMirror::AnswerList(const Kind& mirrored) {
  RelayAnswer answer = MakeAnswer(RelayStatus::kView, mirrored.position);
  for (const auto& [name, object] : mirrored.objects)
    answer.changes.push_back({object, false});
  return answer;
}

std::optional<RelayAnswer> StoreMirror::AnswerChanges(const Kind& mirrored,
                                                      uint64_t since,
                                                      TimePoint arrived_at) {
  const auto first = std::find_if(
      mirrored.log.begin(), mirrored.log.end(),
      [since](const Batch& batch) { return batch.revision > since; });
  // Hosts that read from another relay may be between two revisions of this
  // one, which doesn't know which of the changes they have.
  const bool is_known = since == mirrored.position.revision ||
                        (first != mirrored.log.end() &&
                         (first->since == since ||
                          (first->since < since && first->changes.empty())));
  if (!is_known)
    return MakeAnswer(RelayStatus::kHistoryGone, mirrored.position);
  RelayAnswer answer = MakeAnswer(RelayStatus::kView, mirrored.position);
  std::optional<TimePoint> changed_after = TimePoint::max();
  for (auto batch = first; batch != mirrored.log.end(); ++batch) {
    if (batch->changes.empty())
      continue;
    changed_after = std::min(changed_after, batch->changed_after);
    answer.changes.insert(answer.changes.end(), batch->changes.begin(),
                          batch->changes.end());
  }
  if (answer.changes.empty())
    return std::nullopt;
  if (changed_after)
    answer.change_age = arrived_at - *changed_after;
  return answer;
}

std::optional<RelayAnswer> StoreMirror::Answer(const RelayRequest& request,
                                               TimePoint arrived_at,
                                               TimePoint now) const {
  const Kind& mirrored = this->Of(request.kind);
  const Position& position = mirrored.position;
  if (mirrored.is_store_failing)
    return MakeAnswer(RelayStatus::kStoreFailing, position);
  if (!mirrored.is_known || !mirrored.is_direct)
    return MakeAnswer(RelayStatus::kNoView, position);
  const auto with_age = [&](RelayAnswer answer) {
    answer.age = arrived_at - position.confirmed_at;
    return answer;
  };
  if (request.era > position.era)
    return MakeAnswer(RelayStatus::kBehind, position);
  if (!request.revision)
    return with_age(AnswerList(mirrored));
  if (request.era < position.era)
    return MakeAnswer(RelayStatus::kHistoryGone, position);
  const bool is_over = now >= arrived_at + request.wait;
  if (*request.revision > position.revision) {
    if (is_over)
      return MakeAnswer(RelayStatus::kBehind, position);
    return std::nullopt;
  }
  auto changed = AnswerChanges(mirrored, *request.revision, arrived_at);
  if (changed)
    return with_age(std::move(*changed));
  const bool is_newer =
      position.confirmed_at >= arrived_at - request.age + kMinGain;
  if (!is_newer && !is_over)
    return std::nullopt;
  return with_age(MakeAnswer(RelayStatus::kView, position));
}

}  // namespace jujuberock::relay
