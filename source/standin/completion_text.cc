#include "standin/completion_text.h"

#include <array>
#include <cstdio>

#include <openssl/sha.h>

namespace jujuberock::standin {

namespace {

constexpr size_t kTokenDigits = 7;

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  std::string text;
  for (const unsigned char byte : digest) {
    std::array<char, 3> digits;
    std::snprintf(digits.data(), digits.size(), "%02x", byte);
    text += digits.data();
  }
  return text;
}

std::vector<std::string> BlockDigests(std::string_view prompt) {
  std::vector<std::string> digests;
  while (prompt.size() >= kBlockBytes) {
    digests.push_back(Sha256Hex(prompt.substr(0, kBlockBytes)));
    prompt.remove_prefix(kBlockBytes);
  }
  return digests;
}

std::string CompletionSeed(std::string_view version,
                           const std::vector<std::string>& block_digests,
                           std::string_view rest) {
  std::string text(version);
  text += '\n';
  for (const std::string& digest : block_digests)
    text += digest;
  text += Sha256Hex(rest);
  return Sha256Hex(text);
}

std::string CompletionToken(std::string_view seed, uint64_t offset) {
  const std::string text = std::string(seed) + ":" + std::to_string(offset);
  return Sha256Hex(text).substr(0, kTokenDigits) + " ";
}

}  // namespace jujuberock::standin
