#include "core/host/handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "core/common/error.h"

namespace jujuberock::host {

namespace {

void AppendName(std::string* text, const std::string& name) {
  text->push_back(static_cast<char>(name.size()));
  text->append(name);
}

}  // namespace

Nonce MakeNonce() {
  Nonce nonce;
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1)
    throw common::Error(common::ResultCode::kInternal, "no random bytes");
  return nonce;
}

Proof MakeProof(std::string_view key, Role role, const HandshakeFacts& facts) {
  std::string text(kHandshakeMagic);
  text.push_back(static_cast<char>(role));
  text.append(facts.server_nonce.begin(), facts.server_nonce.end());
  text.append(facts.client_nonce.begin(), facts.client_nonce.end());
  AppendName(&text, facts.client_name);
  AppendName(&text, facts.server_name);
  Proof proof{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       proof.data(), &length);
  return proof;
}

bool SameProof(const Proof& left, const Proof& right) {
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace jujuberock::host
