#ifndef UMBERTRAIL_DISPATCH_LOAD_FORECAST_H_
#define UMBERTRAIL_DISPATCH_LOAD_FORECAST_H_

#include <vector>

#include "absl/time/time.h"
#include "umbertrail/dispatch/placement.h"

namespace umbertrail::dispatch {

// The engines as they are expected to be `after` this: without the prompts that
// are prefilled and the streams that have ended by then, if nothing else is
// sent to them. A stream lasts its expected events, or the engine's mean.
std::vector<Candidate> ForecastLoad(std::vector<Candidate> candidates,
                                    const EngineModel& engine,
                                    absl::Time now,
                                    absl::Duration after);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_LOAD_FORECAST_H_
