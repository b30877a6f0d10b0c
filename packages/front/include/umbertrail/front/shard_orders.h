#ifndef UMBERTRAIL_FRONT_SHARD_ORDERS_H_
#define UMBERTRAIL_FRONT_SHARD_ORDERS_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "umbertrail/dispatch/priority_order.h"
#include "umbertrail/front/state.h"

namespace umbertrail::front {

struct PlacementReply;

// The priority order of each shard of which this instance is a home. In memory
// only: a new home starts with nobody waiting, and knows the accounts' usage
// from the load that it is told.
class ShardOrders {
 public:
  explicit ShardOrders(State& state) : state_(state) {}

  // Whether requests like this one are placed in order: on model engines, if a
  // feature needs it.
  bool Apply(const PlacementRequest& request) const;

  // Places a request, or keeps it waiting. Logs and counts who gives way.
  void Place(const PlacementRequest& request,
             std::vector<dispatch::Candidate> candidates,
             absl::Time now,
             PlacementReply* reply);

  // Meters the accounts' usage in all shards of which this instance is a home,
  // so that a backup knows it when it becomes the primary.
  void SampleLoad(absl::Time now);

 private:
  dispatch::PriorityOrder& OrderOf(const dispatch::Shard& shard);
  void Record(const PlacementRequest& request,
              const dispatch::OrderedPlacement& placed,
              absl::Time now);

  State& state_;
  // By the shard's name.
  std::map<std::string, dispatch::PriorityOrder> orders_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_SHARD_ORDERS_H_
