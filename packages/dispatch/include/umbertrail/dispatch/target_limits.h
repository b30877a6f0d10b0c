#ifndef UMBERTRAIL_DISPATCH_TARGET_LIMITS_H_
#define UMBERTRAIL_DISPATCH_TARGET_LIMITS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/budgets.h"
#include "umbertrail/dispatch/members.h"

// A target in need states in its responses how many requests per second it
// takes from all instances together. A few instances, its senders, share that
// rate; the others send it nothing. As the senders are few, a rate far below
// one request per second and instance can be kept too.

namespace umbertrail::dispatch {

// What a target's response, or its absence, says of its rate limit.
struct TargetLimit {
  TargetId target;
  // Birth time of the target's incarnation.
  int64_t born_ms = 0;
  // Requests per second from all instances together; none: no limit.
  std::optional<double> rate;
  // When an instance received that response.
  absl::Time stated_at;
};

// Mean time between two requests that all instances together send to a limited
// target.
absl::Duration TurnInterval(const TargetLimit& limit);

// Number of senders of a limited target in a fleet in which each instance
// places its own requests. The longer no response has come, the more there are,
// as the present senders may have no requests.
int SenderCount(double rate, int instances, absl::Duration since_stated);

// True if `self` is among the first `count` of `live` in the target's ranking.
bool IsSender(const TargetId& target,
              const InstanceId& self,
              const std::vector<const Member*>& live,
              int count);

// Rate limits that targets have stated, by the most recent response that any
// instance received from each, and this instance's use of its shares in them.
class TargetLimits {
 public:
  // True if the target's limit changed by this, false if it is the known one,
  // or older than what is known.
  bool Merge(const TargetLimit& stated);
  // The limit of a target's incarnation; null if unlimited.
  const TargetLimit* Find(const TargetId& target, int64_t born_ms) const;

  // Time until this instance may send to a limited target whose rate is shared
  // by `senders`, of which it is one.
  absl::Duration TimeToSend(const TargetLimit& limit,
                            int senders,
                            absl::Time now);
  // Consumes one request of this instance's share; false if it is used up.
  bool Take(const TargetLimit& limit, int senders, absl::Time now);

  // What to tell other instances: all limits, and those that ended lately.
  std::vector<TargetLimit> ToTell(absl::Time now) const;
  // Forgets the targets for which `is_gone` holds.
  void Forget(const std::function<bool(const TargetId&)>& is_gone);

 private:
  struct Entry {
    TargetLimit limit;
    TokenBucket share;
  };

  // The target's bucket with the share of one of `senders`.
  TokenBucket& Fill(const TargetLimit& limit, int senders, absl::Time now);

  std::map<TargetId, Entry> entries_;
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_TARGET_LIMITS_H_
