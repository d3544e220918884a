#ifndef CORE_DISPATCH_PROMPT_H_
#define CORE_DISPATCH_PROMPT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace jujuberock::dispatch {

// A piece of a prompt that other prompts may share.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
};

// What a caller tells about a prompt; all parts in order.
struct Prompt {
  std::string model;
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::vector<PromptPart> parts;

  // Tokens of engine memory that the run needs at its end.
  int64_t MemoryTokens() const {
    return this->prompt_tokens + this->max_output_tokens;
  }
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_PROMPT_H_
