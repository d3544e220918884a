#include "core/streams/software_state.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/json_number.h"
#include "core/common/nesting.h"

namespace jujuberock::streams {

namespace {

using common::Duration;
using common::TimePoint;
using Json = nlohmann::json;

}  // namespace

std::string RenderSoftwareRecord(const SoftwareRecord& record) {
  Json value;
  value["store_era"] = record.store_era;
  if (record.sole)
    value["sole"] = *record.sole;
  if (record.candidate)
    value["candidate"] = *record.candidate;
  return value.dump();
}

std::optional<SoftwareRecord> ParseSoftwareRecord(std::string_view text) {
  if (common::ExceedsNesting(text))
    return std::nullopt;
  const Json value = Json::parse(text, nullptr, false);
  if (!value.is_object())
    return std::nullopt;
  try {
    SoftwareRecord record;
    record.store_era = common::GetUnsigned(value.at("store_era"));
    if (value.contains("sole"))
      record.sole = value["sole"].get<std::string>();
    else if (value.contains("candidate"))
      record.candidate = value["candidate"].get<std::string>();
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const common::Error&) {
    return std::nullopt;
  }
}

void SoftwareState::OnEra(uint64_t new_era) {
  if (new_era == this->era)
    return;
  this->era = new_era;
  this->is_known = false;
}

void SoftwareState::OnRecord(const SoftwareRecord& read,
                             uint64_t new_revision,
                             TimePoint now) {
  const bool has_revision = this->revision && this->revision_era == this->era;
  // A watch reports changes that this host has read or replaced meanwhile.
  if (has_revision && new_revision < *this->revision)
    return;
  if (!has_revision || new_revision > *this->revision)
    this->record_known_since = now;
  this->record = read;
  this->revision = new_revision;
  this->revision_era = this->era;
  this->is_known = true;
  this->has_seen_record = true;
}

void SoftwareState::OnNoRecord() {
  this->record.reset();
  this->revision.reset();
  this->is_known = true;
}

void SoftwareState::OnVersions(const SoftwareVersions& changed, TimePoint now) {
  if (changed.registered != this->versions.registered)
    this->registered_since = now;
  this->versions = changed;
}

std::optional<std::string> SoftwareState::SoleVersion() const {
  if (!this->is_known || !this->IsRecordOfEra())
    return std::nullopt;
  return this->record->sole;
}

std::optional<std::string> SoftwareState::RequiredVersion() const {
  // Holds also while it is not known whether a write has replaced the record.
  if (!this->IsRecordOfEra())
    return std::nullopt;
  const std::optional<std::string>& named = this->NamedVersion();
  return named && this->versions.serving.contains(*named) ? named
                                                          : std::nullopt;
}

bool SoftwareState::SeesOtherVersion() const {
  const std::set<std::string>& seen =
      this->record->sole ? this->versions.serving : this->versions.registered;
  return std::any_of(seen.begin(), seen.end(), [this](const std::string& v) {
    return v != *this->NamedVersion();
  });
}

bool SoftwareState::MustWiden() const {
  if (!this->NamedVersion() || !this->SeesOtherVersion())
    return false;
  // Without endpoints of the named version, streams begin at another one.
  return this->IsViewNewerThanRecord() ||
         !this->versions.serving.contains(*this->NamedVersion());
}

std::optional<SoftwareRecord> SoftwareState::NarrowerRecord(
    Duration longest_stream,
    Duration turn,
    TimePoint now) const {
  if (this->record->sole || this->versions.registered.size() != 1)
    return std::nullopt;
  const std::string& single = *this->versions.registered.begin();
  const TimePoint since =
      std::max(this->registered_since, this->record_known_since);
  if (!this->record->candidate) {
    const bool is_due = this->IsViewNewerThanRecord() && now - since >= turn;
    return is_due
               ? std::optional(SoftwareRecord{this->era, std::nullopt, single})
               : std::nullopt;
  }
  const bool is_due = single == *this->record->candidate &&
                      now - since >= longest_stream + kMaxViewLag + turn;
  return is_due ? std::optional(SoftwareRecord{this->era, single})
                : std::nullopt;
}

std::optional<SoftwareRecord> SoftwareState::RecordToWrite(
    Duration longest_stream,
    Duration turn,
    TimePoint now) const {
  const std::set<std::string>& registered = this->versions.registered;
  if (!this->is_known || registered.empty())
    return std::nullopt;
  const SoftwareRecord several{this->era, std::nullopt};
  // A service that is new has no streams yet. A record that was lost, or that
  // the store has in an older copy, says nothing of them.
  if (!this->record) {
    const bool is_new = registered.size() == 1 && !this->has_seen_record;
    return is_new ? SoftwareRecord{this->era, *registered.begin()} : several;
  }
  if (!this->IsRecordOfEra() || this->MustWiden())
    return several;
  return this->NarrowerRecord(longest_stream, turn, now);
}

}  // namespace jujuberock::streams
