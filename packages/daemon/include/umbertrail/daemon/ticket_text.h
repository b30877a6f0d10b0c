#ifndef UMBERTRAIL_DAEMON_TICKET_TEXT_H_
#define UMBERTRAIL_DAEMON_TICKET_TEXT_H_

#include <string>
#include <string_view>

#include "umbertrail/base.h"
#include "umbertrail/core/types.h"

namespace umbertrail::daemon {

// Longest ticket text accepted, in bytes.
inline constexpr size_t kMaxTicketText = 2048;

// A ticket as callers carry it: unpadded base64url of a JSON array of its
// fields. Opaque to them.
std::string FormatTicket(const core::Ticket& ticket);

// Reads FormatTicket()'s text; kInvalidArgument for anything else. Whether the
// ticket is genuine is for its issuer to say.
Result<core::Ticket> ParseTicket(std::string_view text);

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_TICKET_TEXT_H_
