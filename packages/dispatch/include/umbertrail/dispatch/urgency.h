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

// How much the value of a request of `urgency` counts for a decision about a
// request of `reference`: 1 if they are equal, twice as much for each step that
// it is more urgent, half for each step that it is less, within bounds. Being
// relative, it changes nothing among requests of one urgency.
double UrgencyWeight(int urgency, int reference);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_URGENCY_H_
