#ifndef UMBERTRAIL_DISPATCH_PASS_TIME_H_
#define UMBERTRAIL_DISPATCH_PASS_TIME_H_

#include <vector>

#include "absl/time/time.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/load_board.h"

// Duration of a model engine's pass. An engine works in passes: each runs some
// decode steps for every decoding request and prefills some of the queued
// prompts. A stream pauses between two events for the duration of a pass.

namespace umbertrail::dispatch {

// Input of the model for a target's next passes.
struct PassLoad {
  int decoding = 0;
  // Total prompt tokens of the decoding requests, which every step attends to.
  Tokens context;
  // Remaining tokens of queued and running prefills, and their remaining time.
  Tokens queued_prefill;
  absl::Duration prefill_time = absl::ZeroDuration();
};

// `backlog` is the PrefillBacklog of the same work, `slowdown` the target's
// ratio of measured to modelled prefill times.
PassLoad ComputePassLoad(const std::vector<WorkItem>& work,
                         absl::Duration backlog,
                         double slowdown);

// Duration of a pass without prefill.
absl::Duration DecodePassTime(const EngineModel& engine, const PassLoad& load);

// Duration of the longest pass during the prefill of `prompt`, which takes
// `prefill_time` and follows the queued prefills: it may share a pass with
// those or run in its own.
absl::Duration PassTimeWithPrefill(const EngineModel& engine,
                                   const PassLoad& load,
                                   Tokens prompt,
                                   absl::Duration prefill_time);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_PASS_TIME_H_
