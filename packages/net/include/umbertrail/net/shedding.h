#ifndef UMBERTRAIL_NET_SHEDDING_H_
#define UMBERTRAIL_NET_SHEDDING_H_

#include <cstddef>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/net/memory_budget.h"

namespace umbertrail::net {

// A connection that could be closed to release memory.
struct ShedCandidate {
  ClientAddress address = 0;
  // Memory that closing it releases.
  size_t bytes = 0;
  // Time since it last made progress.
  absl::Duration stalled;
};

// What is to be released, and for whom.
struct ShedDemand {
  // The client that asks.
  ClientAddress address = 0;
  size_t bytes = 0;
  // What one address may hold under pressure. Other addresses that hold more
  // lose connections that do make progress, if stalled ones don't suffice.
  size_t address_part = 0;
};

struct ShedPolicy {
  ShedDemand demand;
  // Connections without progress for this long may be closed.
  absl::Duration min_stalled;
};

// Returns the indexes of the candidates to close, in order: those without
// progress, the longest first, then the longest without progress of addresses
// over their part. Stops when enough is released; may release less.
std::vector<size_t> ChooseToShed(const std::vector<ShedCandidate>& candidates,
                                 const ShedPolicy& policy);

}  // namespace umbertrail::net

#endif  // UMBERTRAIL_NET_SHEDDING_H_
