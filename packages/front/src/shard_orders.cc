#include "umbertrail/front/shard_orders.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "umbertrail/front/placer.h"

namespace umbertrail::front {
namespace {

// An instance is a home of fewer shards, unless requests name shards that don't
// exist.
constexpr size_t kMaxShards = 256;

absl::string_view OutcomeOf(const dispatch::OrderedPlacement& placed) {
  if (placed.result.decision) {
    return "placed";
  }
  return placed.ask_again > absl::ZeroDuration() ? "waits" : "refused";
}

// -1 if infinite.
int64_t ToMillis(absl::Duration duration) {
  return duration == absl::InfiniteDuration()
             ? -1
             : absl::ToInt64Milliseconds(duration);
}

}  // namespace

bool ShardOrders::Apply(const PlacementRequest& request) const {
  return (state_.features.waiting_line || state_.features.fair_shares) &&
         state_.mode == dispatch::PlacementMode::kPredicted &&
         state_.EngineFor(request) != nullptr;
}

void ShardOrders::Place(const PlacementRequest& request,
                        std::vector<dispatch::Candidate> candidates,
                        absl::Time now,
                        PlacementReply* reply) {
  dispatch::OrderedPlacement placed =
      OrderOf(request.shard)
          .PlaceInOrder(request.profile, *state_.EngineFor(request),
                        std::move(candidates), now, state_.Random());
  if (placed.reason != dispatch::YieldReason::kNone || placed.waited) {
    Record(request, placed, now);
  }
  reply->result = std::move(placed.result);
  reply->ask_again = placed.ask_again;
}

void ShardOrders::SampleLoad(absl::Time now) {
  if (!state_.features.fair_shares || !state_.view.has_config()) {
    return;
  }
  const InstanceId self(state_.settings.ip);
  for (const auto& [id, service] : state_.view.config().services) {
    if (!service.engine) {
      continue;
    }
    for (const dispatch::Shard& shard : state_.Shards().Of(id)) {
      const std::vector<InstanceId> homes = state_.HomesOf(shard, now);
      if (std::find(homes.begin(), homes.end(), self) != homes.end()) {
        OrderOf(shard).SampleLoad(
            state_.CandidatesFor(shard, state_.settings.data_centre, {}, now),
            now);
      }
    }
  }
}

dispatch::PriorityOrder& ShardOrders::OrderOf(const dispatch::Shard& shard) {
  if (orders_.size() >= kMaxShards) {
    orders_.clear();
  }
  const dispatch::PriorityOrder::Options options{state_.features.fair_shares,
                                                 state_.features.waiting_line,
                                                 state_.features};
  return orders_.try_emplace(shard.Name(), options).first->second;
}

void ShardOrders::Record(const PlacementRequest& request,
                         const dispatch::OrderedPlacement& placed,
                         absl::Time now) {
  const absl::string_view outcome = OutcomeOf(placed);
  const bool waits_on = placed.waited && outcome == "waits";
  if (waits_on) {
    return;  // Logged and counted when it began to wait.
  }
  state_.metrics.CountYield(dispatch::NameOf(placed.reason), outcome);
  const std::string account =
      absl::StrCat(absl::Hex(request.profile.account.value()));
  state_.log.Write(
      EventLog::Level::kNormal, "gave_way",
      {{"service", request.shard.service.text()},
       {"why", dispatch::NameOf(placed.reason)},
       {"outcome", outcome},
       {"waited_ms", ToMillis(request.profile.elapsed)},
       {"urgency", static_cast<int64_t>(request.profile.urgency)},
       {"account", absl::string_view(account)},
       {"prompt", request.profile.prompt.value()},
       {"ahead", static_cast<int64_t>(placed.ahead)},
       {"soonest_ms", ToMillis(placed.result.min_time_to_first_event)},
       {"may_wait_ms", ToMillis(placed.max_wait)},
       {"used_ms", ToMillis(placed.standing.usage)},
       {"share_ms", ToMillis(placed.standing.share)}},
      now);
}

}  // namespace umbertrail::front
