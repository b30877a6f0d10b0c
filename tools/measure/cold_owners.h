#ifndef UMBERTRAIL_TOOLS_MEASURE_COLD_OWNERS_H_
#define UMBERTRAIL_TOOLS_MEASURE_COLD_OWNERS_H_

#include <cstdint>

#include "umbertrail/core/mutations.h"

namespace umbertrail::measure {

// What several owners did to one engine that restarts again and again.
struct ColdOwnersResult {
  int restarts = 0;
  int granted = 0;
  int finished = 0;
  int owner_changes = 0;
  // Times that the engine got more than it bears while cold.
  int overloads = 0;
};

// Drives `owners` instances whose instance lists lag up to 10 s behind one
// another and disagree, before one engine that restarts now and then.
// `confirmed`: whether the lists can be confirmed; if not, two instances claim
// at a time.
ColdOwnersResult RunColdOwners(int owners,
                               bool confirmed,
                               const core::Mutations& mutations,
                               uint64_t seed);

}  // namespace umbertrail::measure

#endif  // UMBERTRAIL_TOOLS_MEASURE_COLD_OWNERS_H_
