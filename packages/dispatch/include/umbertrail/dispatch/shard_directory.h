#ifndef UMBERTRAIL_DISPATCH_SHARD_DIRECTORY_H_
#define UMBERTRAIL_DISPATCH_SHARD_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/placement.h"
#include "umbertrail/dispatch/shards.h"

// Which shards are worth a placement request. Each reply of a home states its
// shard's capacity; the latest report of each shard is kept with its time.

namespace umbertrail::dispatch {

// Capacity of a shard for further requests, in idle targets: a target counts
// with the share of its slots that is free, less the longer the prompts that
// it still has to read, and not at all while its rate limit allows no request.
double ShardCapacity(const std::vector<Candidate>& candidates, absl::Time now);

// A shard and the capacity that is expected there.
struct RankedShard {
  Shard shard;
  double expected_capacity = 0;
};

// The latest capacity report of each shard. Soft state of one instance: after a
// restart all shards are unknown, and are learnt from the first replies.
class ShardDirectory {
 public:
  // Expected of a shard without a report. Over `kMinCapacity`, so that a shard
  // that is unknown is asked before those that are known to be busy.
  static constexpr double kUnknownCapacity = 1;
  // A shard from which less is expected isn't worth a further question.
  static constexpr double kMinCapacity = 0.5;
  // A service with 600 targets has 38 shards at most.
  static constexpr size_t kMaxRanked = 64;

  // Records what a home of `shard` stated at `now`.
  void Record(const Shard& shard, double capacity, absl::Time now);

  // The last report, weighted by its age: it tends to `kUnknownCapacity`, so
  // that a shard that was busy is asked again after a second or so.
  double ExpectedCapacity(const Shard& shard, absl::Time now) const;

  // `shards` in the order in which to ask them: first those of data centre
  // `near` with capacity, then all others with capacity, then the rest, those
  // of `near` before others. Within each group the order is a random one in
  // which a shard with twice the capacity is twice as likely to be first, so
  // that instances with the same reports don't all ask the same shard. `random`
  // returns numbers in [0, 1). At most `kMaxRanked` shards are ranked, so that
  // a request's cost doesn't grow with the fleet; of more, successive ones from
  // a random start.
  std::vector<RankedShard> Rank(const std::vector<Shard>& shards,
                                const DataCentreId& near,
                                absl::Time now,
                                const std::function<double()>& random) const;

  size_t size() const { return reports_.size(); }

 private:
  struct Report {
    double capacity = 0;
    absl::Time at;
  };

  // By shard name.
  std::map<std::string, Report> reports_;
  absl::Time pruned_at_ = absl::InfinitePast();
};

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_SHARD_DIRECTORY_H_
