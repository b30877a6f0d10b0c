#ifndef UMBERTRAIL_CORE_OWNER_OWNER_LIMITS_H_
#define UMBERTRAIL_CORE_OWNER_OWNER_LIMITS_H_

// Limits shared by the parts of TargetOwner.

#include <algorithm>

#include "absl/time/time.h"

namespace umbertrail::core::detail {

// While requests wait, room is looked for at this interval: predicted prefills
// end without an event.
inline constexpr absl::Duration kDispatchInterval = absl::Milliseconds(10);

// Bounds of the advice when to come back.
inline constexpr absl::Duration kLeastRetry = absl::Milliseconds(200);
inline constexpr absl::Duration kLongestRetry = absl::Seconds(30);

// The advice when to come back, after a predicted wait.
inline absl::Duration RetryAfter(absl::Duration wait) {
  return std::clamp(wait, kLeastRetry, kLongestRetry);
}

}  // namespace umbertrail::core::detail

#endif  // UMBERTRAIL_CORE_OWNER_OWNER_LIMITS_H_
