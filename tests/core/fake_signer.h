#ifndef UMBERTRAIL_TESTS_CORE_FAKE_SIGNER_H_
#define UMBERTRAIL_TESTS_CORE_FAKE_SIGNER_H_

#include <string>
#include <string_view>

#include "umbertrail/core/node.h"

namespace umbertrail::core {

// Signs by a keyed hash; enough where nobody forges.
class FakeSigner : public TicketSigner {
 public:
  std::string Sign(std::string_view text) const override {
    return std::to_string(StableHash(text, 42));
  }
  bool Verify(std::string_view text, std::string_view mac) const override {
    return Sign(text) == mac;
  }
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_TESTS_CORE_FAKE_SIGNER_H_
