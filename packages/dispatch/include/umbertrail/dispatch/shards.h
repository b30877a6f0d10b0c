#ifndef UMBERTRAIL_DISPATCH_SHARDS_H_
#define UMBERTRAIL_DISPATCH_SHARDS_H_

#include <map>
#include <string>
#include <vector>

#include "umbertrail/base.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/members.h"

// Targets are partitioned into shards, and each shard has home instances. An
// instance reports its load at a target to the target's homes only, and queries
// them for placement. Instances derive shards and homes from the targets and
// members that they know. While their views differ, a home may know only a part
// of the load; nothing else is lost.

namespace umbertrail::dispatch {

// Targets of one service among which requests are placed.
struct Shard {
  ServiceId service;
  // Empty if the shard spans all data centres.
  DataCentreId data_centre;
  // Targets whose hash modulo `buckets` is `bucket`.
  int buckets = 1;
  int bucket = 0;

  bool Holds(const TargetEntry& target) const;
  // Unique name of the shard.
  std::string Name() const;
};

// The partition of the known targets.
class ShardTable {
 public:
  ShardTable() = default;
  explicit ShardTable(const std::map<TargetId, TargetEntry>& targets);

  // The shards of a service; empty if it has no targets.
  const std::vector<Shard>& Of(const ServiceId& service) const;
  // The shard that contains a target; null if its service is unknown.
  const Shard* Of(const TargetEntry& target) const;

 private:
  std::map<ServiceId, std::vector<Shard>> shards_;
};

// True if every instance is a home of every shard, so that no queries are
// needed: in fleets where broadcasting the load is cheap.
bool AllInstancesAreHomes(int live_instances);

// Number of homes of one shard.
int HomeCount(int live_instances);

// A shard's homes, the primary first. Instances of its data centre precede
// others, and those with a larger CPU share are chosen more often. `live` are
// the candidate members.
std::vector<InstanceId> ChooseHomes(const Shard& shard,
                                    const std::vector<const Member*>& live);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_SHARDS_H_
