#ifndef UMBERTRAIL_DISPATCH_BUDGETS_H_
#define UMBERTRAIL_DISPATCH_BUDGETS_H_

#include <deque>

#include "absl/time/time.h"

// Budgets that all instances share without asking each other: each spends its
// part of the fixed allowance, which stays within the whole under any split.

namespace umbertrail::dispatch {

// Counts events of the last `window`.
class SlidingCount {
 public:
  explicit SlidingCount(absl::Duration window) : window_(window) {}
  void Add(absl::Time now);
  int Count(absl::Time now);

 private:
  void Drop(absl::Time now);

  absl::Duration window_;
  std::deque<absl::Time> events_;
};

// How many further sends of a service's requests this instance may make: a
// ratio of its own requests and its part of the fleet's fixed allowance.
class RetryBudget {
 public:
  RetryBudget(double ratio, double fleet_slack, absl::Duration window);

  void NoteRequest(absl::Time now) { requests_.Add(now); }
  // Takes one further send; false when the budget is spent. `instances` is how
  // many share the allowance.
  bool Take(absl::Time now, int instances);

 private:
  double ratio_;
  double fleet_slack_;
  SlidingCount requests_;
  SlidingCount further_;
};

// Bounds what one instance sends to one target in any second, so that all
// together never overload a target that is cold, or turned cold unseen.
class TargetRate {
 public:
  TargetRate() : sends_(absl::Seconds(1)) {}
  // `fleet_rate` is what all instances together may send in one second; 0
  // means without bound.
  bool MaySend(absl::Time now, double fleet_rate, int instances);
  void NoteSend(absl::Time now) { sends_.Add(now); }

 private:
  SlidingCount sends_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_BUDGETS_H_
