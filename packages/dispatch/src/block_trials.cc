#include "umbertrail/dispatch/block_trials.h"

#include <algorithm>

namespace umbertrail::dispatch {

bool BlockTrials::MayTry(absl::Time blocked_since, absl::Time now) const {
  // A predecessor may have tried just before this instance started.
  return now - blocked_since >= kDelay &&
         now - last_.value_or(started_at_) >= kInterval;
}

void BlockTrials::Merge(absl::Time last_trial) {
  last_ = std::max(last_.value_or(absl::InfinitePast()), last_trial);
}

}  // namespace umbertrail::dispatch
