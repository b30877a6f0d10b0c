#ifndef UMBERTRAIL_FRONT_SRC_PEER_OUTPUT_H_
#define UMBERTRAIL_FRONT_SRC_PEER_OUTPUT_H_

#include <random>

#include "absl/time/time.h"
#include "peer_message.h"
#include "umbertrail/dispatch/output_estimator.h"

// Exchange of the learnt output of routes in gossip.

namespace umbertrail::front {

// Maximum routes in one message.
inline constexpr size_t kMaxRouteOutputs = 8;

// Adds random routes of which this instance had samples lately.
void AddRouteOutputs(const dispatch::OutputEstimator& outputs,
                     absl::Time now,
                     std::mt19937_64& random,
                     PeerMessage* message);
// Merges the sender's samples; routes beyond kMaxRouteOutputs are ignored.
void MergeRouteOutputs(const PeerMessage& message,
                       absl::Time now,
                       dispatch::OutputEstimator* outputs);

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_SRC_PEER_OUTPUT_H_
