#ifndef UMBERTRAIL_DAEMON_TICKET_SIGNER_H_
#define UMBERTRAIL_DAEMON_TICKET_SIGNER_H_

#include <string>
#include <string_view>

#include "umbertrail/base.h"
#include "umbertrail/core/node.h"

namespace umbertrail::daemon {

// Signs by HMAC-SHA256 under a key drawn when it is made and never shown, so
// that it ends with this incarnation. The MAC is 32 raw bytes. Thread-safe.
class HmacTicketSigner : public core::TicketSigner {
 public:
  // Draws the key from `random`, which must be the system's outside tests.
  explicit HmacTicketSigner(RandomSource* random);

  std::string Sign(std::string_view text) const override;
  bool Verify(std::string_view text, std::string_view mac) const override;

 private:
  std::string key_;
};

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_TICKET_SIGNER_H_
