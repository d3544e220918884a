#ifndef CORE_CATALOG_CONFIG_VIEW_H_
#define CORE_CATALOG_CONFIG_VIEW_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/catalog/types.h"

namespace jujuberock::catalog {

// One version of the configuration, indexed for lookups. Immutable: requests
// keep the view that they started with.
class ConfigView {
 public:
  explicit ConfigView(Config config);
  ConfigView(const ConfigView&) = delete;
  ConfigView& operator=(const ConfigView&) = delete;

  const Config& config() const { return this->source; }
  uint64_t version() const { return this->source.version; }
  bool has_teams() const { return !this->source.teams.empty(); }

  // The route of this host with the longest prefix of the path. The host may
  // carry a port; the path may carry a query. Null when none matches.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // The team that holds the key, or null.
  const Team* FindTeam(std::string_view key) const;
  const Service* FindService(std::string_view name) const;

 private:
  Config source;
  // Longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> routes_by_host;
  std::unordered_map<std::string, const Team*> teams_by_key;
  std::map<std::string, const Service*, std::less<>> services_by_name;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_CONFIG_VIEW_H_
