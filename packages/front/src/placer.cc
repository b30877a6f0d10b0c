#include "umbertrail/front/placer.h"

#include <algorithm>
#include <utility>

#include "umbertrail/net/alarm.h"

namespace umbertrail::front {
namespace {

// A live home replies within this, even from another data centre.
constexpr absl::Duration kReplyTimeout = absl::Milliseconds(20);
// Homes asked about one shard before falling back to local state.
constexpr int kMaxHomesAsked = 2;
// An offered place is held until the requester reports its work, or this long.
constexpr absl::Duration kHoldDuration = absl::Milliseconds(60);
// Shards asked beside the first, and in each later round of a search.
constexpr size_t kAdditionalShards = 2;
// Shards asked for one request at most, whatever the fleet's size.
constexpr size_t kMaxShardsAsked = 9;

// Logs and counts the plan of a prompt whose memory must be planned.
void NoteMemoryPlan(State& state,
                    const PlacementRequest& request,
                    const PlacementReply& reply,
                    absl::Time now) {
  const dispatch::EngineModel* engine = state.EngineFor(request);
  if (!state.features.memory_plan || engine == nullptr ||
      !dispatch::NeedsMemoryPlan(*engine, request.profile.prompt)) {
    return;
  }
  const auto& decision = reply.result.decision;
  const std::optional<dispatch::PlanBound> bound = reply.result.plan_bound;
  const absl::string_view outcome = decision ? "planned"
                                    : bound  ? dispatch::NameOf(*bound)
                                             : "time";
  state.metrics.CountMemoryPlan(outcome);
  const auto holders =
      decision
          ? std::count_if(decision->tickets.begin(), decision->tickets.end(),
                          [](Tokens ticket) { return ticket > Tokens(0); })
          : 0;
  state.log.Write(
      EventLog::Level::kNormal, "memory_plan",
      {{"service", request.shard.service.text()},
       {"prompt", request.profile.prompt.value()},
       {"outcome", outcome},
       {"targets", static_cast<int64_t>(reply.candidate_count)},
       {"helpers",
        static_cast<int64_t>(decision ? decision->helpers.size() : 0)},
       {"tickets", static_cast<int64_t>(holders)},
       {"largest_ticket", decision ? decision->reserve_per_helper.value() : 0}},
      now);
}

bool IsBetter(const PlacementReply& reply, const PlacementReply& other) {
  if (!reply.result.decision || !other.result.decision) {
    return reply.result.decision.has_value();
  }
  return reply.result.decision->cost < other.result.decision->cost;
}

// When to ask again if neither reply has a placement; zero if no home keeps the
// request waiting.
absl::Duration MergedAskAgain(const PlacementReply& reply,
                              const PlacementReply& other) {
  if (reply.ask_again == absl::ZeroDuration() ||
      other.ask_again == absl::ZeroDuration()) {
    return std::max(reply.ask_again, other.ask_again);
  }
  return std::min(reply.ask_again, other.ask_again);
}

}  // namespace

// A placement request for one shard.
class Placer::ShardRequest : public std::enable_shared_from_this<ShardRequest> {
 public:
  ShardRequest(std::shared_ptr<Placer> placer,
               PlacementRequest request,
               Callback done)
      : placer_(std::move(placer)),
        request_(std::move(request)),
        callback_(std::move(done)),
        alarm_(placer_->state_.loop) {}

  void Send() {
    State& state = placer_->state_;
    const std::vector<InstanceId> homes =
        state.HomesOf(request_.shard, BootNow());
    const InstanceId self(state.settings.ip);
    const bool is_home =
        std::find(homes.begin(), homes.end(), self) != homes.end();
    if (attempts_ >= kMaxHomesAsked || homes.empty() || is_home) {
      state.metrics.CountPlacementRequest("here");
      const PlacementReply reply = placer_->PlaceLocally(
          request_, is_home ? Knowledge::kHome : Knowledge::kOwnLoad);
      if (is_home) {
        placer_->RecordCapacity(request_.shard, reply);
      }
      End(reply);
      return;
    }
    ++attempts_;
    home_ = homes.front();
    id_ = placer_->next_id_++;
    placer_->pending_[id_] = weak_from_this();
    alarm_.Set(kReplyTimeout, shared_from_this(), &ShardRequest::OnTimeout);
    placer_->send_(home_, id_, request_);
  }

  void HandleReply(const InstanceId& from, const PlacementReply& reply) {
    if (from == home_) {
      placer_->state_.metrics.CountPlacementRequest("answered");
      placer_->RecordCapacity(request_.shard, reply);
      End(IsServable(reply)
              ? reply
              : placer_->PlaceLocally(request_, Knowledge::kOwnLoad));
    }
  }

 private:
  void OnTimeout() {
    State& state = placer_->state_;
    placer_->pending_.erase(id_);
    state.metrics.CountPlacementRequest("silent");
    state.SuspectHome(home_, BootNow());
    state.log.Write(
        EventLog::Level::kImportant, "home_silent",
        {{"home", home_.text()}, {"service", request_.shard.service.text()}},
        BootNow());
    Send();
  }

  // A home may offer a target that this instance does not know yet, or one that
  // is leaving without the home knowing.
  bool IsServable(const PlacementReply& reply) const {
    if (!reply.result.decision) {
      return true;
    }
    const dispatch::FleetView& view = placer_->state_.view;
    const dispatch::TargetEntry* entry =
        view.Find(reply.result.decision->target);
    return entry != nullptr && view.MayServe(*entry);
  }

  void End(const PlacementReply& reply) {
    if (!callback_) {
      return;
    }
    placer_->pending_.erase(id_);
    alarm_.Cancel();
    const Callback callback = std::move(callback_);
    callback_ = nullptr;
    callback(reply);
  }

  std::shared_ptr<Placer> placer_;
  PlacementRequest request_;
  Callback callback_;
  net::Timer alarm_;
  int attempts_ = 0;
  InstanceId home_;
  uint64_t id_ = 0;
};

// The placement of one request over several shards.
class Placer::Search : public std::enable_shared_from_this<Search> {
 public:
  Search(std::shared_ptr<Placer> placer,
         PlacementRequest request,
         std::vector<dispatch::RankedShard> shards,
         Callback done)
      : placer_(std::move(placer)),
        request_(std::move(request)),
        shards_(std::move(shards)),
        callback_(std::move(done)) {}

  // Asks the first shard, and others if its placement is not good enough.
  void StartWithFirst() { Ask(1); }
  // Asks several shards at once: for a long prompt no placement is so good that
  // comparing it isn't worthwhile.
  void StartWithSeveral() {
    asked_more_shards_ = true;
    Ask(1 + kAdditionalShards);
  }

 private:
  // Asks the next `count` shards.
  void Ask(size_t count) {
    const size_t end = std::min(shards_.size(), next_ + count);
    pending_count_ += end - next_;
    while (next_ < end) {
      PlacementRequest request = request_;
      request.shard = shards_[next_++].shard;
      const auto shard_request = std::make_shared<ShardRequest>(
          placer_, std::move(request),
          [self = shared_from_this()](const PlacementReply& reply) {
            self->OnReply(reply);
          });
      shard_requests_.push_back(shard_request);
      shard_request->Send();
    }
  }

  void OnReply(const PlacementReply& reply) {
    const size_t candidate_count =
        best_reply_.candidate_count + reply.candidate_count;
    const absl::Duration earliest =
        std::min(best_reply_.result.min_time_to_first_event,
                 reply.result.min_time_to_first_event);
    const absl::Duration ask_again = MergedAskAgain(reply, best_reply_);
    const absl::Duration retry_after =
        has_reply_
            ? std::min(best_reply_.result.retry_after, reply.result.retry_after)
            : reply.result.retry_after;
    if (!has_reply_ || IsBetter(reply, best_reply_)) {
      best_reply_ = reply;
    }
    has_reply_ = true;
    best_reply_.candidate_count = candidate_count;
    best_reply_.result.min_time_to_first_event = earliest;
    best_reply_.result.retry_after = retry_after;
    best_reply_.ask_again = ask_again;
    if (--pending_count_ > 0) {
      return;
    }
    if (!IsGoodEnough() && next_ < shards_.size() && !asked_more_shards_) {
      asked_more_shards_ = true;
      Ask(kAdditionalShards);
      return;
    }
    if (const size_t count = FurtherShards(); count > 0) {
      placer_->state_.metrics.CountPlacementRequest("further");
      Ask(count);
      return;
    }
    // The shard requests own this search: keep it alive until the callback
    // ends.
    const auto keep_alive = std::move(shard_requests_);
    callback_(best_reply_);
  }

  // How many shards to ask beyond the usual ones: those where capacity is
  // expected, as long as there is no placement on time.
  size_t FurtherShards() const {
    if (!placer_->state_.features.ordered_search || IsOnTime()) {
      return 0;
    }
    const size_t end =
        std::min({shards_.size(), next_ + kAdditionalShards, kMaxShardsAsked});
    size_t count = 0;
    while (next_ + count < end && shards_[next_ + count].expected_capacity >=
                                      dispatch::ShardDirectory::kMinCapacity) {
      ++count;
    }
    return count;
  }

  bool IsOnTime() const {
    return best_reply_.result.decision &&
           (!request_.use_engine_model ||
            request_.profile.elapsed +
                    best_reply_.result.decision->time_to_first_event <=
                request_.profile.aim);
  }

  bool IsGoodEnough() const {
    return best_reply_.result.decision &&
           dispatch::IsLowCost(*best_reply_.result.decision);
  }

  std::shared_ptr<Placer> placer_;
  PlacementRequest request_;
  // In the order in which they are asked.
  std::vector<dispatch::RankedShard> shards_;
  Callback callback_;
  size_t next_ = 0;
  size_t pending_count_ = 0;
  bool asked_more_shards_ = false;
  bool has_reply_ = false;
  PlacementReply best_reply_;
  std::vector<std::shared_ptr<ShardRequest>> shard_requests_;
};

void Placer::Place(PlacementRequest request, Callback done) {
  if (state_.mode != dispatch::PlacementMode::kPredicted ||
      dispatch::AllInstancesAreHomes(state_.live_instances)) {
    done(PlaceLocally(request, Knowledge::kHome));
    return;
  }
  std::vector<dispatch::RankedShard> shards =
      ShardsInOrder(request.shard.service);
  if (shards.empty()) {
    done(PlacementReply());
    return;
  }
  const bool may_use_helpers =
      dispatch::CanUseHelpers(request.profile, state_.EngineFor(request));
  const auto search =
      std::make_shared<Search>(shared_from_this(), std::move(request),
                               std::move(shards), std::move(done));
  if (may_use_helpers) {
    search->StartWithSeveral();
  } else {
    search->StartWithFirst();
  }
}

std::vector<dispatch::RankedShard> Placer::ShardsInOrder(
    const ServiceId& service) {
  const std::vector<dispatch::Shard>& shards = state_.Shards().Of(service);
  if (state_.features.ordered_search) {
    return directory_.Rank(shards, state_.settings.data_centre, BootNow(),
                           [this] { return state_.Random(); });
  }
  std::vector<dispatch::RankedShard> shuffled;
  shuffled.reserve(shards.size());
  for (const dispatch::Shard& shard : shards) {
    shuffled.push_back({shard, 0});
  }
  std::shuffle(shuffled.begin(), shuffled.end(), state_.random);
  std::stable_partition(shuffled.begin(), shuffled.end(),
                        [this](const dispatch::RankedShard& one) {
                          return one.shard.data_centre ==
                                 state_.settings.data_centre;
                        });
  return shuffled;
}

void Placer::RecordCapacity(const dispatch::Shard& shard,
                            const PlacementReply& reply) {
  // A home of an older build states no capacity; whether it has a placement
  // shows whether there is any.
  directory_.Record(
      shard,
      reply.shard_capacity.value_or(
          reply.result.decision ? dispatch::ShardDirectory::kUnknownCapacity
                                : 0),
      BootNow());
}

PlacementReply Placer::PlaceLocally(const PlacementRequest& request,
                                    Knowledge knowledge) {
  const absl::Time now = BootNow();
  auto candidates = state_.CandidatesFor(
      request.shard, request.sender_data_centre, request.excluded_targets, now);
  PlacementReply reply;
  reply.candidate_count = candidates.size();
  if (!dispatch::AllInstancesAreHomes(state_.live_instances)) {
    reply.shard_capacity = dispatch::ShardCapacity(candidates, now);
  }
  if (candidates.empty()) {
    return reply;
  }
  for (dispatch::Candidate& candidate : candidates) {
    candidate.excluded_as_helper =
        candidate.excluded_as_helper ||
        std::find(request.excluded_helpers.begin(),
                  request.excluded_helpers.end(),
                  candidate.id) != request.excluded_helpers.end();
  }
  if (knowledge == Knowledge::kHome && orders_.Apply(request)) {
    orders_.Place(request, std::move(candidates), now, &reply);
    NoteMemoryPlan(state_, request, reply, now);
    return reply;
  }
  reply.result =
      dispatch::Place(request.profile, state_.EngineFor(request), candidates,
                      now, state_.Random(), state_.features);
  NoteMemoryPlan(state_, request, reply, now);
  return reply;
}

PlacementReply Placer::HandleRequest(const InstanceId& requester,
                                     const PlacementRequest& request) {
  PlacementReply reply;
  if (!state_.view.has_config()) {
    return reply;
  }
  reply = PlaceLocally(request, Knowledge::kHome);
  if (reply.result.decision) {
    const absl::Time now = BootNow();
    dispatch::PlacementDecision& placed = *reply.result.decision;
    const dispatch::TargetEntry* target = state_.view.Find(placed.target);
    placed.charged_to_limit =
        target != nullptr &&
        state_.limits.Find(target->id, target->born_ms) != nullptr &&
        state_.ChargeLimit(*target, now);
    for (const auto& [target, item] : dispatch::WorkItemsFor(
             request.profile, state_.EngineFor(request), placed, now)) {
      state_.board.Reserve(requester, target, item, now, kHoldDuration);
    }
    state_.rates[placed.target].NoteSend(now);
  }
  return reply;
}

void Placer::HandleReply(const InstanceId& from,
                         uint64_t id,
                         const PlacementReply& reply) {
  const auto found = pending_.find(id);
  const auto shard_request =
      found == pending_.end() ? nullptr : found->second.lock();
  if (shard_request) {
    shard_request->HandleReply(from, reply);
  }
}

}  // namespace umbertrail::front
