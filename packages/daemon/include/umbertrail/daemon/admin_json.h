#ifndef UMBERTRAIL_DAEMON_ADMIN_JSON_H_
#define UMBERTRAIL_DAEMON_ADMIN_JSON_H_

#include <string>
#include <vector>

#include "umbertrail/core/node.h"
#include "umbertrail/telemetry/history.h"

namespace umbertrail::daemon {

// A node's status as a JSON object. Durations are milliseconds, sizes are
// tokens; fingerprints and incarnations are hex, for JSON numbers are not exact
// at 64 bits.
std::string StatusJson(const core::NodeStatus& status);

// Histories as a JSON object `{"requests": [...]}`, oldest first. Each step has
// `after_ms`, `step` and the fields of its kind.
std::string ExplainJson(
    const std::vector<telemetry::RequestHistory>& histories);

}  // namespace umbertrail::daemon

#endif  // UMBERTRAIL_DAEMON_ADMIN_JSON_H_
