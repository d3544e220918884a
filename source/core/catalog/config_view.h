#ifndef CORE_CATALOG_CONFIG_VIEW_H_
#define CORE_CATALOG_CONFIG_VIEW_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/catalog/types.h"
#include "core/catalog/urgency_levels.h"

namespace jujuberock::catalog {

// One configuration version with lookup indexes. Immutable: a request keeps the
// view that it started with, even when a newer version arrives.
class ConfigView {
 public:
  explicit ConfigView(Config config);
  ConfigView(const ConfigView&) = delete;
  ConfigView& operator=(const ConfigView&) = delete;

  const Config& config() const { return this->indexed_config; }
  uint64_t version() const { return this->indexed_config.version; }
  bool has_teams() const { return !this->indexed_config.teams.empty(); }

  // Returns the route of `host` with the longest matching path prefix, or null.
  // A port in `host` and a query string in `path` are ignored.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the team that owns the API key, or null.
  const Team* FindTeam(std::string_view key) const;
  const Service* FindService(std::string_view name) const;
  // Returns the urgency of a request; `team` is null without a key.
  int UrgencyOf(const Route& route, const Team* team) const {
    return this->urgency_levels.LevelOf(route, team);
  }

 private:
  Config indexed_config;
  UrgencyLevels urgency_levels;
  // Routes per lower-case host name, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> routes_by_host;
  std::unordered_map<std::string, const Team*> teams_by_key;
  std::map<std::string, const Service*, std::less<>> services_by_name;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_CONFIG_VIEW_H_
