#ifndef UMBERTRAIL_DISPATCH_TARGET_HEALTH_H_
#define UMBERTRAIL_DISPATCH_TARGET_HEALTH_H_

#include "absl/time/time.h"

namespace umbertrail::dispatch {

// Outcomes of requests at a target, as reported by another instance.
struct Outcomes {
  int successes = 0;
  int failures = 0;
  int first_events = 0;
  // Mean ratio of measured to predicted times to first event.
  double slowdown = 1;
};

// Exponentially decayed statistics of a target's recent requests, as seen by
// this instance.
class TargetHealth {
 public:
  void RecordSuccess(absl::Time now);
  void RecordFailure(absl::Time now);
  // The connection failed: starts a backoff period that doubles each time.
  void RecordUnreachable(absl::Time now);
  // Records a first event after `actual` where `predicted` was expected.
  // Returns the ratio of actual to predicted.
  double RecordFirstEvent(absl::Duration predicted, absl::Duration actual);
  // Records the ratio of the typical pause of `windows` windows to the modelled
  // pass.
  void RecordPauses(double ratio, int windows, absl::Time now);
  void MergePeerOutcomes(const Outcomes& outcomes, absl::Time now);

  // Fraction of recent requests that failed, 0 to 1, smoothed so that few
  // failures count little.
  double FailureRate(absl::Time now) const;
  bool InBackoff(absl::Time now) const { return now < backoff_until_; }
  // Moving average of actual to predicted times; at least 1.
  double slowdown() const { return pace_; }
  // Moving average of measured to modelled pauses; at least 1. Without
  // measurements it returns to 1, as a target that gets no requests can't show
  // that it has recovered.
  double DecodeSlowdown(absl::Time now) const;

 private:
  void Decay(absl::Time now);
  void UpdateSlowdown(double ratio, int times);

  double failures_ = 0;
  double successes_ = 0;
  absl::Time decayed_at_ = absl::InfinitePast();
  absl::Time backoff_until_ = absl::InfinitePast();
  absl::Duration backoff_;
  double pace_ = 1;
  double decode_slowdown_ = 1;
  absl::Time pauses_recorded_at_ = absl::InfinitePast();
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_TARGET_HEALTH_H_
