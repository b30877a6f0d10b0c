#ifndef UMBERTRAIL_DISPATCH_PASS_TIME_H_
#define UMBERTRAIL_DISPATCH_PASS_TIME_H_

#include <vector>

#include "absl/time/time.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/load_board.h"

// How long a pass of a model engine lasts. An engine works in passes: in each,
// every request that writes gets some steps, and some of the prompts that wait
// are read. A stream pauses between two events for as long as a pass lasts.

namespace umbertrail::dispatch {

// What a target's next passes have to do.
struct PassLoad {
  int writers = 0;
  // Prompts of those that write, which every step looks at.
  Tokens context;
  // Prompts or parts of prompts that wait to be read, and the time that this
  // takes. Of what is being read now, what is left.
  Tokens waiting;
  absl::Duration read_time = absl::ZeroDuration();
};

// `backlog` is what ReadBacklog tells of the same work, `pace` the target's
// reading times against the engine's arithmetic.
PassLoad PassLoadOf(const std::vector<WorkItem>& work,
                    absl::Duration backlog,
                    double pace);

// A pass in which nothing is read.
absl::Duration WritingPass(const EngineModel& engine, const PassLoad& load);

// The longest pass while `prompt`, which takes `read_time`, is read after what
// waits there: it may share a pass with that, or have one for itself.
absl::Duration PassWith(const EngineModel& engine,
                        const PassLoad& load,
                        Tokens prompt,
                        absl::Duration read_time);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_PASS_TIME_H_
