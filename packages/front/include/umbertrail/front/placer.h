#ifndef UMBERTRAIL_FRONT_PLACER_H_
#define UMBERTRAIL_FRONT_PLACER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "umbertrail/dispatch/placement.h"
#include "umbertrail/dispatch/shards.h"
#include "umbertrail/front/state.h"

namespace umbertrail::front {

// A request that looks for a place among the targets of one shard.
struct PlacementRequest {
  dispatch::Shard shard;
  // The data centre of the instance that will send it.
  DataCentreId sender_data_centre;
  dispatch::RequestProfile shape;
  // By the arithmetic of the service's engines; otherwise by occupied slots.
  bool use_engine_model = false;
  // Targets that were tried before.
  std::vector<TargetId> excluded_targets;
  // Targets that are no use as helpers of this request.
  std::vector<TargetId> excluded_helpers;
};

struct PlacementReply {
  // How many targets it was chosen among.
  size_t candidate_count = 0;
  dispatch::PlacementResult result;
};

// Finds places for requests: here, where this instance is a home of the targets
// in question, otherwise by asking a home. A request asks one shard near by and
// looks further only where that one has no good place, or where the prompt is
// long. No request waits for a home that keeps silent: after some milliseconds
// the next is asked, then what is known here has to do.
class Placer : public std::enable_shared_from_this<Placer> {
 public:
  // Sends a question with that number to an instance.
  using SendAsk = std::function<
      void(const InstanceId& to, uint64_t id, const PlacementRequest& query)>;
  using Done = std::function<void(const PlacementReply& offer)>;

  Placer(State& state, SendAsk send) : state_(state), send_(std::move(send)) {}

  // Looks among all targets of `query.shard.service`; the rest of the shard is
  // filled in here. `done` runs at once where nobody needs to be asked.
  void Place(PlacementRequest query, Done done);

  // A question of another instance: the answer, with its place held.
  PlacementReply HandleRequest(const InstanceId& asker,
                               const PlacementRequest& query);
  // An answer to a question of this instance.
  void HandleReply(const InstanceId& from,
                   uint64_t id,
                   const PlacementReply& offer);

 private:
  class Search;
  class Question;

  // By what is known here.
  PlacementReply Evaluate(const PlacementRequest& query);

  State& state_;
  SendAsk send_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::weak_ptr<Question>> asked_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_PLACER_H_
