#ifndef CORE_REUSE_SALT_H_
#define CORE_REUSE_SALT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujuberock::reuse {

// What separates cached parts that must not be mixed: those of different
// models, of different weight versions, and of isolated teams.
struct Salt {
  std::string model;
  uint64_t version = 0;
  // Empty for the parts that all teams share.
  std::string isolated_team;

  friend bool operator==(const Salt&, const Salt&) = default;
};

// As engines and stores get it.
std::string RenderSalt(const Salt& salt);
// Nothing when this program did not make the text.
std::optional<Salt> ParseSalt(std::string_view text);

}  // namespace jujuberock::reuse

#endif  // CORE_REUSE_SALT_H_
