#ifndef UMBERTRAIL_DISPATCH_SHARDS_H_
#define UMBERTRAIL_DISPATCH_SHARDS_H_

#include <map>
#include <string>
#include <vector>

#include "umbertrail/base.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/members.h"

// Targets are divided into shards, and each shard has homes among the
// instances. Whoever works at a target tells its homes and nobody else, and
// asks them where a request should go. Instances derive the division and the
// homes from the targets and members that they know; where their views differ
// for a moment, a home knows less than all, and nothing else is lost.

namespace umbertrail::dispatch {

// Targets of one service that are placed together.
struct Shard {
  ServiceId service;
  // Empty: of all data centres.
  DataCentreId data_centre;
  // The targets whose hash leaves `bucket` when divided by `buckets`.
  int buckets = 1;
  int bucket = 0;

  bool Holds(const TargetEntry& target) const;
  // Names the shard; equal for equal shards.
  std::string Name() const;
};

// How the targets that are known are divided.
class ShardTable {
 public:
  ShardTable() = default;
  explicit ShardTable(const std::map<TargetId, TargetEntry>& targets);

  // The shards of a service; empty when it has no targets.
  const std::vector<Shard>& Of(const ServiceId& service) const;
  // The shard that holds a target; null when its service is unknown.
  const Shard* Of(const TargetEntry& target) const;

 private:
  std::map<ServiceId, std::vector<Shard>> shards_;
};

// True while every instance is a home of every shard, so that nobody is asked:
// in fleets where telling everyone is cheap.
bool AllInstancesAreHomes(int live_instances);

// How many instances are homes of one shard.
int HomesOf(int live_instances);

// A shard's homes, the first in charge: instances of its data centre before
// others, those with more processor more often. `live` are the members that may
// be homes.
std::vector<InstanceId> ChooseHomes(const Shard& shard,
                                    const std::vector<const Member*>& live);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_SHARDS_H_
