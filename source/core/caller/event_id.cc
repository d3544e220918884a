#include "core/caller/event_id.h"

#include <glog/logging.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <charconv>
#include <memory>
#include <optional>
#include <vector>

#include "core/common/error.h"

namespace jujuberock::caller {

namespace {

// Context string of the key derivation.
constexpr std::string_view kKeyContext = "jujuberock event id v1";
constexpr size_t kNonceBytes = 12;
constexpr size_t kTagBytes = 16;
// Ids issued by this system are never longer. The limit bounds the work that an
// invalid id causes.
constexpr size_t kMaxIdChars = 1024;
constexpr char kSeparator = '\n';
constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

using CipherContext =
    std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

int Size(std::string_view text) {
  return static_cast<int>(text.size());
}

// Encodes as base64url without padding (RFC 4648).
std::string ToBase64Url(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() * 4 + 2) / 3);
  uint32_t bits = 0;
  int count = 0;
  for (const char c : bytes) {
    bits = bits << 8 | static_cast<unsigned char>(c);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kAlphabet[bits >> count & 63];
    }
  }
  if (count > 0)
    text += kAlphabet[bits << (6 - count) & 63];
  return text;
}

std::optional<std::string> FromBase64Url(std::string_view text) {
  std::string bytes;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const size_t value = kAlphabet.find(c);
    if (value == std::string_view::npos)
      return std::nullopt;
    bits = bits << 6 | static_cast<uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>(bits >> count & 255);
    }
  }
  return bytes;
}

// Reuses one context per thread, because creating a context costs more than
// sealing an id.
EVP_CIPHER_CTX* ThreadContext() {
  thread_local const CipherContext kContext(EVP_CIPHER_CTX_new(),
                                            &EVP_CIPHER_CTX_free);
  return kContext.get();
}

std::string SerializePosition(const StreamPosition& position) {
  std::string text = position.endpoint;
  for (const std::string* part :
       {&position.engine_request_id, &position.model, &position.host}) {
    text += kSeparator;
    text += *part;
  }
  return text + kSeparator + std::to_string(position.offset);
}

std::optional<StreamPosition> ParsePosition(std::string_view text) {
  std::vector<std::string> parts;
  size_t begin = 0;
  size_t end;
  while ((end = text.find(kSeparator, begin)) != std::string_view::npos) {
    parts.emplace_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  if (parts.size() != 4)
    return std::nullopt;
  StreamPosition position{parts[0], parts[1], parts[2], parts[3], 0};
  const char* last = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + begin, last, position.offset);
  if (parsed.ec != std::errc() || parsed.ptr != last)
    return std::nullopt;
  return position;
}

}  // namespace

EventIdSealer::EventIdSealer(std::string_view deployment_key) {
  unsigned int size = 0;
  CHECK(HMAC(EVP_sha256(), deployment_key.data(), Size(deployment_key),
             Bytes(kKeyContext), kKeyContext.size(), this->key.data(), &size));
  CHECK_EQ(size, this->key.size());
}

std::string EventIdSealer::Seal(const StreamPosition& position,
                                std::string_view team) const {
  const std::string text = SerializePosition(position);
  std::string sealed(kNonceBytes + text.size() + kTagBytes, '\0');
  unsigned char* nonce = Bytes(sealed);
  unsigned char* body = nonce + kNonceBytes;
  CHECK_EQ(RAND_bytes(nonce, kNonceBytes), 1);
  EVP_CIPHER_CTX* context = ThreadContext();
  int written = 0;
  const bool encrypted =
      EVP_EncryptInit_ex(context, EVP_aes_256_gcm(), nullptr, this->key.data(),
                         nonce) == 1 &&
      EVP_EncryptUpdate(context, nullptr, &written, Bytes(team), Size(team)) ==
          1 &&
      EVP_EncryptUpdate(context, body, &written, Bytes(text), Size(text)) ==
          1 &&
      EVP_EncryptFinal_ex(context, body + written, &written) == 1 &&
      EVP_CIPHER_CTX_ctrl(context, EVP_CTRL_GCM_GET_TAG, kTagBytes,
                          body + text.size()) == 1;
  CHECK(encrypted) << "AES-GCM encryption failed";
  return ToBase64Url(sealed);
}

StreamPosition EventIdSealer::Open(std::string_view id,
                                   std::string_view team) const {
  const common::Error invalid(common::ResultCode::kInvalidEventId,
                              "the event id is not valid for this team");
  if (id.size() > kMaxIdChars)
    throw invalid;
  std::optional<std::string> sealed = FromBase64Url(id);
  if (!sealed || sealed->size() < kNonceBytes + kTagBytes)
    throw invalid;
  const size_t size = sealed->size() - kNonceBytes - kTagBytes;
  unsigned char* nonce = Bytes(*sealed);
  unsigned char* body = nonce + kNonceBytes;
  std::string text(size, '\0');
  EVP_CIPHER_CTX* context = ThreadContext();
  int written = 0;
  const bool valid =
      EVP_DecryptInit_ex(context, EVP_aes_256_gcm(), nullptr, this->key.data(),
                         nonce) == 1 &&
      EVP_DecryptUpdate(context, nullptr, &written, Bytes(team), Size(team)) ==
          1 &&
      EVP_DecryptUpdate(context, Bytes(text), &written, body,
                        static_cast<int>(size)) == 1 &&
      EVP_CIPHER_CTX_ctrl(context, EVP_CTRL_GCM_SET_TAG, kTagBytes,
                          body + size) == 1 &&
      EVP_DecryptFinal_ex(context, Bytes(text) + written, &written) == 1;
  if (!valid)
    throw invalid;
  const std::optional<StreamPosition> position = ParsePosition(text);
  if (!position)
    throw invalid;
  return *position;
}

}  // namespace jujuberock::caller
