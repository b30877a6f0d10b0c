#ifndef UMBERTRAIL_DISPATCH_ENGINE_TIME_H_
#define UMBERTRAIL_DISPATCH_ENGINE_TIME_H_

#include "absl/time/time.h"
#include "umbertrail/dispatch/config.h"

// Analytical cost model of an engine.

namespace umbertrail::dispatch {

// Prefill time of a prompt on an idle engine: linear in its tokens, plus
// attention over each pair of a token and an earlier one.
absl::Duration PrefillTime(const EngineModel& engine, Tokens prompt);

// Duration of a pass with `decoding` decoding requests and no prefill, without
// the cost of their contexts.
absl::Duration DecodePassTime(const EngineModel& engine, int decoding);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_ENGINE_TIME_H_
