#ifndef UMBERTRAIL_TELEMETRY_NAMES_H_
#define UMBERTRAIL_TELEMETRY_NAMES_H_

#include <string_view>

#include "umbertrail/core/actions.h"
#include "umbertrail/core/events.h"
#include "umbertrail/core/fleet_view.h"
#include "umbertrail/core/types.h"

// The names under which enumerators appear in logs, labels, spans and JSON:
// lower case with underscores. They are part of the operators' interface and
// stay as they are once published.

namespace umbertrail::telemetry {

std::string_view NameOf(core::Reason reason);
std::string_view NameOf(core::Ran ran);
std::string_view NameOf(core::LengthClass length_class);
std::string_view NameOf(core::AdmitDecision decision);
std::string_view NameOf(core::AttemptFailure failure);
std::string_view NameOf(core::AttemptResult result);
std::string_view NameOf(core::OwnerClaim claim);
std::string_view NameOf(core::TargetState state);
std::string_view NameOf(core::OrderAnswered::Result result);
std::string_view NameOf(core::ScreenVerdict verdict);
std::string_view NameOf(core::KeyGrantDecision decision);

// The kind of message that `payload` holds, such as "probe_request".
std::string_view NameOf(const core::PeerPayload& payload);

}  // namespace umbertrail::telemetry

#endif  // UMBERTRAIL_TELEMETRY_NAMES_H_
