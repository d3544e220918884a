#ifndef CORE_TABLE_SNAPSHOT_H_
#define CORE_TABLE_SNAPSHOT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/table/types.h"

namespace jujuberock::table {

// The valid rows of the table at one point in time. Immutable once published,
// so the request path reads it without a lock. Snapshots share unchanged rows.
class Snapshot {
 public:
  template <typename T>
  using Rows = std::map<std::string, std::shared_ptr<const T>, std::less<>>;

  // `utc_offset` is the time zone of the deployment, in which bands are given.
  explicit Snapshot(std::chrono::minutes utc_offset) : utc_offset(utc_offset) {}

  // The Find functions return null if there is no such row.
  const Team* FindTeam(std::string_view name) const;
  // Finds the team of the bearer key with this SHA-256 (hexadecimal).
  const Team* FindTeamByKeyDigest(std::string_view digest) const;
  const Service* FindService(std::string_view name) const;
  // Finds the first service, in order of name, that serves the model.
  const Service* FindServiceByModel(std::string_view model) const;
  const Endpoint* FindEndpoint(std::string_view name) const;
  const HostEntry* FindHost(std::string_view name) const;
  const StoreEntry* FindStore(std::string_view name) const;

  // Endpoints of a service in order of name, including those that are leaving.
  std::vector<std::shared_ptr<const Endpoint>> EndpointsOf(
      std::string_view service) const;

  // Limits at the given wall time; nullopt if the team or the service does not
  // exist.
  std::optional<EffectiveLimits> LimitsFor(std::string_view team,
                                           std::string_view service,
                                           common::UnixTime when) const;

  // Minute of the day in the deployment's time zone.
  int MinuteOfDay(common::UnixTime when) const;

  const Rows<Team>& teams() const { return this->team_rows; }
  const Rows<Service>& services() const { return this->service_rows; }
  const Rows<Endpoint>& endpoints() const { return this->endpoint_rows; }
  const Rows<HostEntry>& hosts() const { return this->host_rows; }
  const Rows<StoreEntry>& stores() const { return this->store_rows; }

 private:
  friend class View;

  std::chrono::minutes utc_offset;
  Rows<Team> team_rows;
  Rows<Service> service_rows;
  Rows<Endpoint> endpoint_rows;
  Rows<HostEntry> host_rows;
  Rows<StoreEntry> store_rows;
  // Team name by key digest.
  std::map<std::string, std::string, std::less<>> team_by_key;
  // Endpoints by service, sorted by name.
  std::map<std::string,
           std::vector<std::shared_ptr<const Endpoint>>,
           std::less<>>
      endpoints_by_service;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace jujuberock::table

#endif  // CORE_TABLE_SNAPSHOT_H_
