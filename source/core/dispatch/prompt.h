#ifndef CORE_DISPATCH_PROMPT_H_
#define CORE_DISPATCH_PROMPT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace jujuberock::dispatch {

// A segment of a prompt that other prompts may share.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
};

// Description of a prompt as given by the caller. The parts are in order.
struct Prompt {
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::vector<PromptPart> parts;

  // Peak KV cache use of the run, in tokens.
  int64_t MemoryTokens() const {
    return this->prompt_tokens + this->max_output_tokens;
  }
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_PROMPT_H_
