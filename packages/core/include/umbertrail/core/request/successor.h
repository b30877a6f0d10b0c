#ifndef UMBERTRAIL_CORE_REQUEST_SUCCESSOR_H_
#define UMBERTRAIL_CORE_REQUEST_SUCCESSOR_H_

#include "umbertrail/core/fleet_view.h"

namespace umbertrail::core {

// The instance to which a stopping issuer of tickets hands its records, and
// which others ask for them; empty when no other instance is listed.
InstanceId SuccessorOf(const InstanceId& issuer, const FleetView& fleet);

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_REQUEST_SUCCESSOR_H_
