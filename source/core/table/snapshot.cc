#include "core/table/snapshot.h"

#include <algorithm>

namespace jujuberock::table {

namespace {

template <typename T>
const T* FindRow(const Snapshot::Rows<T>& rows, std::string_view name) {
  const auto found = rows.find(name);
  return found == rows.end() ? nullptr : found->second.get();
}

// The bands cover the whole day, so there is always a match.
template <typename BandType>
const BandType& BandAt(const std::vector<BandType>& bands, int minute) {
  const auto found = std::find_if(
      bands.begin(), bands.end(),
      [minute](const Band& band) { return minute < band.to_minute; });
  return found == bands.end() ? bands.back() : *found;
}

}  // namespace

const Team* Snapshot::FindTeam(std::string_view name) const {
  return FindRow(this->team_rows, name);
}

const Team* Snapshot::FindTeamByKeyDigest(std::string_view digest) const {
  const auto found = this->team_by_key.find(digest);
  return found == this->team_by_key.end() ? nullptr
                                          : this->FindTeam(found->second);
}

const Service* Snapshot::FindService(std::string_view name) const {
  return FindRow(this->service_rows, name);
}

const Service* Snapshot::FindServiceByModel(std::string_view model) const {
  for (const auto& [name, service] : this->service_rows) {
    const auto& models = service->models;
    if (std::find(models.begin(), models.end(), model) != models.end())
      return service.get();
  }
  return nullptr;
}

const Endpoint* Snapshot::FindEndpoint(std::string_view name) const {
  return FindRow(this->endpoint_rows, name);
}

const HostEntry* Snapshot::FindHost(std::string_view name) const {
  return FindRow(this->host_rows, name);
}

const StoreEntry* Snapshot::FindStore(std::string_view name) const {
  return FindRow(this->store_rows, name);
}

std::vector<std::shared_ptr<const Endpoint>> Snapshot::EndpointsOf(
    std::string_view service) const {
  const auto found = this->endpoints_by_service.find(service);
  if (found == this->endpoints_by_service.end())
    return {};
  return found->second;
}

std::optional<EffectiveLimits> Snapshot::LimitsFor(
    std::string_view team,
    std::string_view service,
    common::UnixTime when) const {
  const Team* team_row = this->FindTeam(team);
  const Service* service_row = this->FindService(service);
  if (!team_row || !service_row)
    return std::nullopt;
  const int minute = this->MinuteOfDay(when);
  const TeamBand& team_band = BandAt(team_row->bands, minute);
  const ServiceBand& service_band = BandAt(service_row->bands, minute);
  return EffectiveLimits{
      .weight = team_band.weight,
      .max_running = team_band.max_running,
      .max_queue = service_band.max_queue,
      .patience = std::min(team_band.patience, service_band.patience)};
}

int Snapshot::MinuteOfDay(common::UnixTime when) const {
  const auto local = when + this->utc_offset;
  const auto midnight = std::chrono::floor<std::chrono::days>(local);
  const auto minutes =
      std::chrono::floor<std::chrono::minutes>(local - midnight);
  return static_cast<int>(minutes.count());
}

}  // namespace jujuberock::table
