#ifndef UMBERTRAIL_DISPATCH_BUDGETS_H_
#define UMBERTRAIL_DISPATCH_BUDGETS_H_

#include <deque>
#include <optional>

#include "absl/time/time.h"

// Fleet-wide budgets enforced without coordination: each instance spends its
// fraction of the fixed allowance, so that the total stays within bounds during
// any network partition.

namespace umbertrail::dispatch {

// Counts events in a sliding window.
class SlidingCount {
 public:
  explicit SlidingCount(absl::Duration window) : window_(window) {}
  void Add(absl::Time now);
  int Count(absl::Time now);

 private:
  void DropExpired(absl::Time now);

  absl::Duration window_;
  std::deque<absl::Time> events_;
};

// A token bucket whose rate and capacity may change.
class TokenBucket {
 public:
  TokenBucket(double tokens, absl::Time now) : tokens_(tokens), filled_(now) {}

  // Adds the tokens of the time since the last call, up to `capacity`.
  void Fill(absl::Time now, double tokens_per_s, double capacity);
  void Add(double tokens) { tokens_ += tokens; }
  double tokens() const { return tokens_; }
  // Consumes one token; false if there is less than one.
  bool Take();

 private:
  double tokens_;
  absl::Time filled_;
};

// Limits retries of a service's requests by this instance: a bucket of credit,
// filled by each request with a fraction of a retry and by time with a part of
// this instance's share of the fleet's allowance. The rest of the share bounds
// the credit that it may hold. In any window all instances together then send
// no more retries than the allowance plus the ratio of the requests, however
// often they are restarted, as credit ends with the process.
class RetryBudget {
 public:
  // The credit of a new process. It is empty if an earlier process of this
  // instance may have spent the same share a moment ago.
  enum class InitialCredit { kNone, kFull };

  // `fleet_allowance` retries per `window` are shared by the `instances` given
  // with each call. While their number is unknown, requests alone earn credit,
  // and no more than one retry is held.
  RetryBudget(double ratio,
              double fleet_allowance,
              absl::Duration window,
              InitialCredit initial,
              absl::Time now);

  void NoteRequest(absl::Time now, std::optional<int> instances);
  // Consumes one retry; false if the budget is exhausted.
  bool Take(absl::Time now, std::optional<int> instances);
  // Retries left; a fraction counts towards a later one.
  double Remaining(absl::Time now, std::optional<int> instances);

 private:
  double ratio_;
  double fleet_allowance_;
  absl::Duration window_;
  TokenBucket credit_;
};

// Rate limit of one instance's sends to one target, so that all instances
// together never overload a target that is cold, or became cold unnoticed.
class TargetRate {
 public:
  TargetRate() : sends_(absl::Seconds(1)) {}
  // `fleet_rate` is the limit in requests per second of all instances together;
  // 0 means unlimited.
  bool MaySend(absl::Time now, double fleet_rate, int instances);
  void NoteSend(absl::Time now) { sends_.Add(now); }

 private:
  SlidingCount sends_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_BUDGETS_H_
