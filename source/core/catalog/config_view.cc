#include "core/catalog/config_view.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace jujuberock::catalog {

namespace {

std::string NormalizeHostName(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return key;
}

bool HasLongerPrefix(const Route* a, const Route* b) {
  return a->path_prefix.size() > b->path_prefix.size();
}

}  // namespace

ConfigView::ConfigView(Config config)
    : indexed_config(std::move(config)), urgency_levels(indexed_config) {
  for (const Route& route : this->indexed_config.routes)
    this->routes_by_host[NormalizeHostName(route.host)].push_back(&route);
  for (auto& [host, routes] : this->routes_by_host)
    std::stable_sort(routes.begin(), routes.end(), HasLongerPrefix);
  for (const Team& team : this->indexed_config.teams) {
    for (const std::string& key : team.keys)
      this->teams_by_key.emplace(key, &team);
  }
  for (const Service& service : this->indexed_config.services)
    this->services_by_name.emplace(service.name, &service);
}

const Route* ConfigView::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const auto found = this->routes_by_host.find(NormalizeHostName(host));
  if (found == this->routes_by_host.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  for (const Route* route : found->second) {
    if (path.substr(0, route->path_prefix.size()) == route->path_prefix)
      return route;
  }
  return nullptr;
}

const Team* ConfigView::FindTeam(std::string_view key) const {
  const auto found = this->teams_by_key.find(std::string(key));
  return found == this->teams_by_key.end() ? nullptr : found->second;
}

const Service* ConfigView::FindService(std::string_view name) const {
  const auto found = this->services_by_name.find(name);
  return found == this->services_by_name.end() ? nullptr : found->second;
}

}  // namespace jujuberock::catalog
