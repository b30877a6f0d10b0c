#include "umbertrail/security/constant_time.h"

#include <openssl/crypto.h>

namespace umbertrail::security {

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace umbertrail::security
