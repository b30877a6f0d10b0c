#include "umbertrail/dispatch/target_limits.h"

namespace umbertrail::dispatch {

bool TargetLimits::Merge(const TargetLimit& stated) {
  const auto found = limits_.find(stated.target);
  if (found == limits_.end()) {
    if (!stated.rate) {
      return false;
    }
    limits_.emplace(stated.target, stated);
    return true;
  }
  TargetLimit& known = found->second;
  const bool newer =
      stated.born_ms > known.born_ms ||
      (stated.born_ms == known.born_ms && stated.stated_at > known.stated_at);
  if (!newer) {
    return false;
  }
  const bool changed = stated.rate != RateOf(stated.target, stated.born_ms);
  known = stated;
  return changed;
}

std::optional<double> TargetLimits::RateOf(const TargetId& target,
                                           int64_t born_ms) const {
  const auto found = limits_.find(target);
  return found == limits_.end() || found->second.born_ms != born_ms
             ? std::nullopt
             : found->second.rate;
}

}  // namespace umbertrail::dispatch
