#include "core/host/handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "core/common/error.h"

namespace jujuberock::host {

namespace {

void AppendLengthPrefixed(std::string* output, const std::string& name) {
  output->push_back(static_cast<char>(name.size()));
  output->append(name);
}

}  // namespace

Nonce GenerateNonce() {
  Nonce nonce;
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1)
    throw common::Error(common::ResultCode::kInternal,
                        "could not generate random bytes for the nonce");
  return nonce;
}

Proof ComputeProof(std::string_view key,
                   Role role,
                   const HandshakeTranscript& transcript) {
  std::string input(kHandshakeMagic);
  input.push_back(static_cast<char>(role));
  input.append(transcript.server_nonce.begin(), transcript.server_nonce.end());
  input.append(transcript.client_nonce.begin(), transcript.client_nonce.end());
  AppendLengthPrefixed(&input, transcript.client_name);
  AppendLengthPrefixed(&input, transcript.server_name);
  Proof proof{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(input.data()), input.size(),
       proof.data(), &length);
  return proof;
}

bool ProofsEqual(const Proof& left, const Proof& right) {
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace jujuberock::host
