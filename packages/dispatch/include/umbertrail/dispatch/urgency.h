#ifndef UMBERTRAIL_DISPATCH_URGENCY_H_
#define UMBERTRAIL_DISPATCH_URGENCY_H_

#include "umbertrail/dispatch/config.h"

namespace umbertrail::dispatch {

// The range of urgencies; targets admit requests of a lower value first.
inline constexpr int kMostUrgent = 0;
inline constexpr int kLeastUrgent = 9;

// Urgency of a request: its account's priority, or where none is configured (or
// `account` is null) its route's, limited to the range.
int UrgencyOf(const Route& route, const Account* account);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_URGENCY_H_
