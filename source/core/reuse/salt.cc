#include "core/reuse/salt.h"

#include <charconv>

namespace jujuberock::reuse {

namespace {

constexpr std::string_view kPrefix = "v";
constexpr std::string_view kTeam = "team=";

}  // namespace

std::string RenderSalt(const Salt& salt) {
  std::string text(kPrefix);
  text += std::to_string(salt.version);
  text += '/';
  text += salt.model;
  if (!salt.isolated_team.empty()) {
    text += '/';
    text += kTeam;
    text += salt.isolated_team;
  }
  return text;
}

std::optional<Salt> ParseSalt(std::string_view text) {
  if (text.substr(0, kPrefix.size()) != kPrefix)
    return std::nullopt;
  text.remove_prefix(kPrefix.size());
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
  if (text.substr(0, kTeam.size()) != kTeam)
    return std::nullopt;
  salt.isolated_team = std::string(text.substr(kTeam.size()));
  return salt;
}

}  // namespace jujuberock::reuse
