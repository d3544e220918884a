#ifndef CORE_SERVE_PROMPT_PARTS_H_
#define CORE_SERVE_PROMPT_PARTS_H_

#include <string_view>
#include <vector>

#include "core/suspects/part_suspects.h"

namespace jujuberock::serve {

// Returns a fingerprint of each distinct block of a prompt but the last, which
// may be partial and belongs to the request alone. Unlike a block key, it
// covers only the text of the block itself and the service, because a part may
// crash an endpoint whatever is before it.
std::vector<suspects::Fingerprint> PromptPartsOf(std::string_view service,
                                                 std::string_view prompt);

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_PROMPT_PARTS_H_
