#ifndef UMBERTRAIL_TOOLS_MEASURE_OWNER_ROUTING_H_
#define UMBERTRAIL_TOOLS_MEASURE_OWNER_ROUTING_H_

#include <vector>

#include "engine_fake.h"
#include "umbertrail/core/owner/owner_config.h"
#include "workload.h"

namespace umbertrail::measure {

// Runs the jobs with one owner for each engine: probe all, ask the best, run by
// grant. Without length classes all prompts share one queue and one engine
// priority.
std::vector<JobResult> RunOwned(const core::OwnerConfig& config,
                                const std::vector<Job>& jobs,
                                const EngineSpec& spec,
                                int engines,
                                uint64_t seed);

}  // namespace umbertrail::measure

#endif  // UMBERTRAIL_TOOLS_MEASURE_OWNER_ROUTING_H_
