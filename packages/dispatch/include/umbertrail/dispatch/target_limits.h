#ifndef UMBERTRAIL_DISPATCH_TARGET_LIMITS_H_
#define UMBERTRAIL_DISPATCH_TARGET_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"

namespace umbertrail::dispatch {

// What a target's response, or its absence, says of its rate limit.
struct TargetLimit {
  TargetId target;
  // Birth time of the target's incarnation.
  int64_t born_ms = 0;
  // Requests per second from all instances together; none: no limit.
  std::optional<double> rate;
  // When an instance received that response.
  absl::Time stated_at;
};

// Rate limits that targets have stated, by the most recent response that any
// instance received from each.
class TargetLimits {
 public:
  // True if the target's limit changed by this, false if it is the known one,
  // or older than what is known.
  bool Merge(const TargetLimit& stated);
  // The limit of a target's incarnation; none if unlimited.
  std::optional<double> RateOf(const TargetId& target, int64_t born_ms) const;

 private:
  std::map<TargetId, TargetLimit> limits_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_TARGET_LIMITS_H_
