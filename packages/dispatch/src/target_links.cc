#include "umbertrail/dispatch/target_links.h"

#include <algorithm>

namespace umbertrail::dispatch {

bool TargetLinks::RecordContact(absl::Time now) {
  last_contact_ = now;
  unreachable_.clear();
  const bool regained = lost_;
  lost_ = false;
  return regained;
}

bool TargetLinks::RecordUnreachable(const TargetId& target,
                                    size_t known_targets) {
  unreachable_.insert(target);
  const bool was_lost = lost_;
  lost_ =
      lost_ || unreachable_.size() >= std::min(kMinUnreachable, known_targets);
  return lost_ && !was_lost;
}

}  // namespace umbertrail::dispatch
