#include "core/serve/prompt_parts.h"

#include <algorithm>

#include "core/common/hash.h"
#include "core/routing/block_key.h"

namespace jujuberock::serve {

std::vector<suspects::Fingerprint> PromptPartsOf(std::string_view service,
                                                 std::string_view prompt) {
  using routing::kBlockBytes;
  std::vector<suspects::Fingerprint> parts;
  parts.reserve(prompt.size() / kBlockBytes);
  const uint64_t service_hash = common::Hash64(service);
  for (size_t begin = 0; begin + kBlockBytes < prompt.size();
       begin += kBlockBytes)
    parts.push_back(
        common::Hash64(prompt.substr(begin, kBlockBytes), service_hash));
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

}  // namespace jujuberock::serve
