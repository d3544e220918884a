#include "core/reuse/salt.h"

#include <charconv>

namespace jujuberock::reuse {

namespace {

constexpr std::string_view kVersionPrefix = "v";
constexpr std::string_view kTeamPrefix = "team=";

}  // namespace

std::string RenderSalt(const Salt& salt) {
  std::string text(kVersionPrefix);
  text += std::to_string(salt.version);
  text += '/';
  text += salt.model;
  if (!salt.isolated_team.empty()) {
    text += '/';
    text += kTeamPrefix;
    text += salt.isolated_team;
  }
  return text;
}

std::optional<Salt> ParseSalt(std::string_view text) {
  if (text.substr(0, kVersionPrefix.size()) != kVersionPrefix)
    return std::nullopt;
  text.remove_prefix(kVersionPrefix.size());
  const size_t slash = text.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  Salt salt;
  const char* end = text.data() + slash;
  const auto [rest, error] = std::from_chars(text.data(), end, salt.version);
  if (error != std::errc() || rest != end)
    return std::nullopt;
  text.remove_prefix(slash + 1);
  const size_t team = text.find('/');
  salt.model = std::string(text.substr(0, team));
  if (team == std::string_view::npos)
    return salt;
  text.remove_prefix(team + 1);
  if (text.substr(0, kTeamPrefix.size()) != kTeamPrefix)
    return std::nullopt;
  salt.isolated_team = std::string(text.substr(kTeamPrefix.size()));
  return salt;
}

}  // namespace jujuberock::reuse
