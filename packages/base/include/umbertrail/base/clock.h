#ifndef UMBERTRAIL_BASE_CLOCK_H_
#define UMBERTRAIL_BASE_CLOCK_H_

#include "absl/time/time.h"

namespace umbertrail {

// Source of monotonic time. Instants of two processes are not comparable;
// messages between processes carry durations only.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual absl::Time Now() const = 0;
};

}  // namespace umbertrail

#endif  // UMBERTRAIL_BASE_CLOCK_H_
