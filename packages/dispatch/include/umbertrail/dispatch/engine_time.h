#ifndef UMBERTRAIL_DISPATCH_ENGINE_TIME_H_
#define UMBERTRAIL_DISPATCH_ENGINE_TIME_H_

#include "absl/time/time.h"
#include "umbertrail/dispatch/config.h"

// How long a model engine takes, by its own arithmetic.

namespace umbertrail::dispatch {

// Time to read a prompt with nothing else to do: each token, and each pair of
// a token and an earlier one.
absl::Duration ReadTime(const EngineModel& engine, Tokens prompt);

// A pass with `writers` requests that write and nothing to read.
absl::Duration WritingPass(const EngineModel& engine, int writers);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_ENGINE_TIME_H_
