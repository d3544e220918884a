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
                             uint64_t new_revision) {
  this->record = read;
  this->revision = new_revision;
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
  if (!this->IsRecordOfEra() || !this->record->sole ||
      !this->versions.serving.contains(*this->record->sole))
    return std::nullopt;
  return this->record->sole;
}

std::optional<SoftwareRecord> SoftwareState::RecordToWrite(
    Duration longest_stream,
    TimePoint now) const {
  const std::set<std::string>& registered = this->versions.registered;
  if (!this->is_known || registered.empty())
    return std::nullopt;
  const SoftwareRecord several{this->era, std::nullopt};
  const SoftwareRecord single{this->era, *registered.begin()};
  const bool is_single = registered.size() == 1;
  // A service that is new has no streams yet. A record that was lost, or that
  // the store has in an older copy, says nothing of them.
  if (!this->record)
    return is_single && !this->has_seen_record ? single : several;
  if (!this->IsRecordOfEra())
    return several;
  if (this->record->sole) {
    const bool has_other = std::any_of(
        this->versions.serving.begin(), this->versions.serving.end(),
        [&](const std::string& v) { return v != *this->record->sole; });
    return has_other ? std::optional(several) : std::nullopt;
  }
  const bool is_settled =
      now - this->registered_since >= longest_stream + kMaxViewLag;
  return is_single && is_settled ? std::optional(single) : std::nullopt;
}

}  // namespace jujuberock::streams
