#ifndef CORE_REUSE_SALT_H_
#define CORE_REUSE_SALT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujuberock::reuse {

// Namespace of cached parts. Parts of different models, weight versions or
// isolated teams must not be mixed.
struct Salt {
  std::string model;
  uint64_t version = 0;
  // Empty for parts that all teams share.
  std::string isolated_team;

  friend bool operator==(const Salt&, const Salt&) = default;
};

// Text form of a salt, as sent to engines and stores.
std::string RenderSalt(const Salt& salt);
// Returns nothing if RenderSalt() did not produce the text.
std::optional<Salt> ParseSalt(std::string_view text);

}  // namespace jujuberock::reuse

#endif  // CORE_REUSE_SALT_H_
