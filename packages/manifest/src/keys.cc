#include "umbertrail/manifest/keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace umbertrail::manifest {
namespace {

bool IsLowerHex(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

}  // namespace

std::string ContentHash(std::string_view bytes) {
  constexpr char digits[] = "0123456789abcdef";
  unsigned char buf[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  EVP_Digest(bytes.data(), bytes.size(), buf, &n, EVP_sha256(), nullptr);
  std::string text;
  text.reserve(kHashDigits);
  for (unsigned int i = 0; i < n; ++i) {
    text += digits[buf[i] >> 4];
    text += digits[buf[i] & 15];
  }
  return text;
}

bool IsContentHash(std::string_view text) {
  if (text.size() != kHashDigits) {
    return false;
  }
  for (const char c : text) {
    if (!IsLowerHex(c)) {
      return false;
    }
  }
  return true;
}

std::string HashKey(std::string_view salt, std::string_view secret) {
  std::string text(salt);
  text += secret;
  return ContentHash(text);
}

bool VerifyKey(const ClientAccount& account, std::string_view secret) {
  const std::string hash = HashKey(account.key_salt, secret);
  return hash.size() == account.key_hash.size() &&
         CRYPTO_memcmp(hash.data(), account.key_hash.data(), hash.size()) == 0;
}

}  // namespace umbertrail::manifest
