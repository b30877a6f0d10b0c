#ifndef UMBERTRAIL_TOOLS_MEASURE_PLAIN_ROUTING_H_
#define UMBERTRAIL_TOOLS_MEASURE_PLAIN_ROUTING_H_

#include <vector>

#include "engine_fake.h"
#include "workload.h"

namespace umbertrail::measure {

// Instances that route in parallel and share no state.
inline constexpr int kRouters = 8;
// One way between an instance and another, or a target.
inline constexpr absl::Duration kHop = absl::Milliseconds(1);

enum class PlainPolicy {
  kRoundRobin,
  kLeastConnections,    // by each instance's own connections
  kTwoChoices,          // by tokens in flight in lagging reports
  kTwoChoicesPriority,  // the same, and short prompts get engine priority
};

// Runs the jobs under a policy without owners, queues or admission.
std::vector<JobResult> RunPlain(PlainPolicy policy,
                                const std::vector<Job>& jobs,
                                const EngineSpec& spec,
                                int engines,
                                uint64_t seed);

}  // namespace umbertrail::measure

#endif  // UMBERTRAIL_TOOLS_MEASURE_PLAIN_ROUTING_H_
