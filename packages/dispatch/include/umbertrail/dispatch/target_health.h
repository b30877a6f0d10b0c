#ifndef UMBERTRAIL_DISPATCH_TARGET_HEALTH_H_
#define UMBERTRAIL_DISPATCH_TARGET_HEALTH_H_

#include "absl/time/time.h"

namespace umbertrail::dispatch {

// How requests went at a target, as another instance saw them.
struct Outcomes {
  int successes = 0;
  int failures = 0;
  int first_events = 0;
  // Mean of first events' times against the predicted ones.
  double slowdown = 1;
};

// How a target's recent requests went, as this instance saw them.
class TargetHealth {
 public:
  void RecordSuccess(absl::Time now);
  void RecordFailure(absl::Time now);
  // No connection came about: left alone for a while, longer each time.
  void RecordUnreachable(absl::Time now);
  // A first event took `actual` where `predicted` was expected.
  // Returns the second against the first.
  double RecordFirstEvent(absl::Duration predicted, absl::Duration actual);
  void MergePeerOutcomes(const Outcomes& outcomes, absl::Time now);

  // Part of recent requests that failed, 0 to 1; few count as none.
  double FailureRate(absl::Time now) const;
  bool InBackoff(absl::Time now) const { return now < alone_until_; }
  // Actual against predicted times; at least 1.
  double slowdown() const { return pace_; }

 private:
  void Fade(absl::Time now);
  void NotePace(double ratio, int times);

  double failures_ = 0;
  double successes_ = 0;
  absl::Time faded_at_ = absl::InfinitePast();
  absl::Time alone_until_ = absl::InfinitePast();
  absl::Duration alone_for_;
  double pace_ = 1;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_TARGET_HEALTH_H_
