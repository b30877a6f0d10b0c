#ifndef UMBERTRAIL_FRONT_PLACER_H_
#define UMBERTRAIL_FRONT_PLACER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "umbertrail/dispatch/placement.h"
#include "umbertrail/dispatch/shard_directory.h"
#include "umbertrail/dispatch/shards.h"
#include "umbertrail/front/shard_orders.h"
#include "umbertrail/front/state.h"

namespace umbertrail::front {

// A request for a placement among the targets of one shard.
struct PlacementRequest {
  dispatch::Shard shard;
  // Data centre of the instance that will send the request to the target.
  DataCentreId sender_data_centre;
  dispatch::RequestProfile profile;
  // Place by the service's engine model rather than by occupied slots.
  bool use_engine_model = false;
  // Targets tried before.
  std::vector<TargetId> excluded_targets;
  // Targets not to be used as helpers for this request.
  std::vector<TargetId> excluded_helpers;
};

struct PlacementReply {
  // Number of targets considered.
  size_t candidate_count = 0;
  dispatch::PlacementResult result;
  // If nothing was placed: time after which the request should be placed again;
  // zero if it is to be refused.
  absl::Duration ask_again;
  // See dispatch::ShardCapacity; nothing if the home's build doesn't state it,
  // or in a fleet where no home is asked.
  std::optional<double> shard_capacity;
};

// Places requests on targets: locally where this instance is a home of the
// shard (one of the instances that track its load), otherwise by asking a home.
// One shard is asked first, others only if its placement isn't good enough or
// the prompt is long, in the order of the capacity that they last reported
// (ShardDirectory). Without a placement on time the search goes on while
// capacity is expected anywhere, to a bounded number of shards. A home that
// does not reply within milliseconds is skipped; after the last one, placement
// falls back to local state.
class Placer : public std::enable_shared_from_this<Placer> {
 public:
  // Sends a placement request with that id to an instance.
  using SendRequest = std::function<
      void(const InstanceId& to, uint64_t id, const PlacementRequest& request)>;
  using Callback = std::function<void(const PlacementReply& reply)>;

  Placer(State& state, SendRequest send)
      : state_(state), send_(std::move(send)), orders_(state) {}

  // Places a request on any target of `request.shard.service`; the other shard
  // fields must be unset. `done` runs synchronously where no home is asked.
  void Place(PlacementRequest request, Callback done);

  // Answers another instance's request, and holds the offered place for it.
  PlacementReply HandleRequest(const InstanceId& requester,
                               const PlacementRequest& request);
  // Handles a reply to a request of this instance; ignored if none is pending.
  void HandleReply(const InstanceId& from,
                   uint64_t id,
                   const PlacementReply& reply);

  // Meters the usage of client accounts; see ShardOrders.
  void SampleLoad(absl::Time now) { orders_.SampleLoad(now); }

 private:
  class Search;
  class ShardRequest;

  // Whether this instance knows the load well enough to decide who gives way.
  enum class Knowledge { kHome, kOwnLoad };

  // Places by local state alone.
  PlacementReply PlaceLocally(const PlacementRequest& request,
                              Knowledge knowledge);

  // The shards of a service in the order in which to ask them.
  std::vector<dispatch::RankedShard> ShardsInOrder(const ServiceId& service);
  // Takes note of the capacity that a home of `shard` replied with.
  void RecordCapacity(const dispatch::Shard& shard,
                      const PlacementReply& reply);

  State& state_;
  SendRequest send_;
  ShardOrders orders_;
  dispatch::ShardDirectory directory_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::weak_ptr<ShardRequest>> pending_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_PLACER_H_
