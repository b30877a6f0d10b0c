#ifndef UMBERTRAIL_TARGET_SRC_WIRE_H_
#define UMBERTRAIL_TARGET_SRC_WIRE_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"

// The targets' protocol as JSON; see docs/PROTOCOLS.md.

namespace umbertrail::target::detail {

// -- Requests -----------------------------------------------------------------

// Body of a generate call. `group` holds the addresses of a prompt's targets,
// the lead first; empty when there is one.
std::string GenerateBody(const core::StartAttempt& attempt,
                         const InstanceRef& holder,
                         const std::vector<std::string>& group);
std::string CancelBody(const RequestId& request, AttemptNumber attempt);
std::string OrderBody(const core::Order& order);
std::string FreeBody(const core::FreeAllocations& action);

// Names a call that may not be repeated; empty for any other.
std::string OnceToken(const core::RequestSpec& spec);

// `ADDRESS/INCARNATION`, the incarnation in hex.
std::string HolderText(const InstanceRef& holder);
std::optional<InstanceRef> ParseHolder(std::string_view text);

// -- Answers ------------------------------------------------------------------

// Items of a generate call's stream.
struct ItemStarted {};
struct ItemChunk {
  Tokens offset;
  Tokens tokens;
  std::string text;
};
struct ItemDone {
  Tokens total;
};
// The engine ended the stream and kept its state.
struct ItemSuspended {};
struct ItemError {
  std::string message;
};
// Names another request or attempt.
struct ItemForeign {};
struct ItemMalformed {};
using StreamItem = std::variant<ItemStarted,
                                ItemChunk,
                                ItemDone,
                                ItemSuspended,
                                ItemError,
                                ItemForeign,
                                ItemMalformed>;

StreamItem ParseStreamItem(std::string_view data,
                           const RequestId& request,
                           AttemptNumber attempt);

// What an answer other than status 200 says of the attempt.
core::AttemptFailure FailureOfAnswer(int status, std::string_view body);

// Nothing when the report lacks its boot or state.
std::optional<core::TargetReport> ParseReport(std::string_view body);

core::OrderAnswered::Result ParseOrderAnswer(int status, std::string_view body);

}  // namespace umbertrail::target::detail

#endif  // UMBERTRAIL_TARGET_SRC_WIRE_H_
