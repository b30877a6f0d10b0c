#include "umbertrail/daemon/ticket_signer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace umbertrail::daemon {
namespace {

constexpr size_t kKeyBytes = 32;

}  // namespace

HmacTicketSigner::HmacTicketSigner(RandomSource* random) {
  while (key_.size() < kKeyBytes) {
    const uint64_t n = random->Next();
    key_.append(reinterpret_cast<const char*>(&n), sizeof(n));
  }
}

std::string HmacTicketSigner::Sign(std::string_view text) const {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), mac,
       &n);
  return std::string(reinterpret_cast<const char*>(mac), n);
}

bool HmacTicketSigner::Verify(std::string_view text,
                              std::string_view mac) const {
  const std::string expected = Sign(text);
  return expected.size() == mac.size() &&
         CRYPTO_memcmp(expected.data(), mac.data(), mac.size()) == 0;
}

}  // namespace umbertrail::daemon
