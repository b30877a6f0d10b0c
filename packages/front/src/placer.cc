#include "umbertrail/front/placer.h"

#include <algorithm>
#include <utility>

#include "umbertrail/net/alarm.h"

namespace umbertrail::front {
namespace {

// A living home answers within this, also from another data centre.
constexpr absl::Duration kAnswerLimit = absl::Milliseconds(20);
// Homes that are asked about one shard before local knowledge has to do.
constexpr int kMostHomesAsked = 2;
// A place that was offered is kept free until the asker tells of its work.
constexpr absl::Duration kHeldPlace = absl::Milliseconds(60);
// Shards that are looked at beside the first.
constexpr size_t kFurtherShards = 2;

bool IsBetter(const PlaceOffer& offer, const PlaceOffer& than) {
  if (!offer.result.placed || !than.result.placed) {
    return offer.result.placed.has_value();
  }
  return offer.result.placed->cost < than.result.placed->cost;
}

}  // namespace

// One shard that is asked for a place.
class Placer::Question : public std::enable_shared_from_this<Question> {
 public:
  Question(std::shared_ptr<Placer> placer, PlaceQuery query, Done done)
      : placer_(std::move(placer)),
        query_(std::move(query)),
        done_(std::move(done)),
        alarm_(placer_->state_.loop) {}

  void Ask() {
    State& state = placer_->state_;
    const std::vector<InstanceId> homes =
        state.HomesOf(query_.shard, BootNow());
    const InstanceId self(state.settings.ip);
    if (asked_ >= kMostHomesAsked || homes.empty() ||
        std::find(homes.begin(), homes.end(), self) != homes.end()) {
      state.metrics.CountPlacementQuery("here");
      End(placer_->Evaluate(query_));
      return;
    }
    ++asked_;
    home_ = homes.front();
    id_ = placer_->next_id_++;
    placer_->asked_[id_] = weak_from_this();
    alarm_.Set(kAnswerLimit, shared_from_this(), &Question::OnSilence);
    placer_->send_(home_, id_, query_);
  }

  void Take(const InstanceId& from, const PlaceOffer& offer) {
    if (from == home_) {
      placer_->state_.metrics.CountPlacementQuery("answered");
      End(IsUsable(offer) ? offer : placer_->Evaluate(query_));
    }
  }

 private:
  void OnSilence() {
    State& state = placer_->state_;
    placer_->asked_.erase(id_);
    state.metrics.CountPlacementQuery("silent");
    state.SuspectHome(home_, BootNow());
    state.log.Write(
        EventLog::Level::kImportant, "home_silent",
        {{"home", home_.text()}, {"service", query_.shard.service.text()}},
        BootNow());
    Ask();
  }

  // A home may know of a target before this instance does, or not know yet that
  // it leaves.
  bool IsUsable(const PlaceOffer& offer) const {
    if (!offer.result.placed) {
      return true;
    }
    const dispatch::FleetView& view = placer_->state_.view;
    const dispatch::TargetEntry* entry = view.Find(offer.result.placed->target);
    return entry != nullptr && view.MayServe(*entry);
  }

  void End(const PlaceOffer& offer) {
    if (!done_) {
      return;
    }
    placer_->asked_.erase(id_);
    alarm_.Cancel();
    const Done done = std::move(done_);
    done_ = nullptr;
    done(offer);
  }

  std::shared_ptr<Placer> placer_;
  PlaceQuery query_;
  Done done_;
  net::Alarm alarm_;
  int asked_ = 0;
  InstanceId home_;
  uint64_t id_ = 0;
};

// The search for one request's place over some shards.
class Placer::Search : public std::enable_shared_from_this<Search> {
 public:
  Search(std::shared_ptr<Placer> placer,
         PlaceQuery query,
         std::vector<dispatch::Shard> shards,
         Done done)
      : placer_(std::move(placer)),
        query_(std::move(query)),
        shards_(std::move(shards)),
        done_(std::move(done)) {}

  // Asks one shard near by, and others where that has no good place.
  void StartNear() { Ask(1); }
  // Asks several at once: a long prompt has no place so good that no other is
  // worth a look.
  void StartWide() {
    widened_ = true;
    Ask(1 + kFurtherShards);
  }

 private:
  // Asks the next `count` shards.
  void Ask(size_t count) {
    const size_t end = std::min(shards_.size(), next_ + count);
    waits_for_ += end - next_;
    while (next_ < end) {
      PlaceQuery query = query_;
      query.shard = shards_[next_++];
      const auto question = std::make_shared<Question>(
          placer_, std::move(query),
          [self = shared_from_this()](const PlaceOffer& offer) {
            self->OnOffer(offer);
          });
      questions_.push_back(question);
      question->Ask();
    }
  }

  void OnOffer(const PlaceOffer& offer) {
    const size_t among = best_.among + offer.among;
    const absl::Duration soonest =
        std::min(best_.result.soonest, offer.result.soonest);
    const absl::Duration retry_after =
        any_ ? std::min(best_.result.retry_after, offer.result.retry_after)
             : offer.result.retry_after;
    if (!any_ || IsBetter(offer, best_)) {
      best_ = offer;
    }
    any_ = true;
    best_.among = among;
    best_.result.soonest = soonest;
    best_.result.retry_after = retry_after;
    if (--waits_for_ > 0) {
      return;
    }
    if (!IsEnough() && next_ < shards_.size() && !widened_) {
      widened_ = true;
      Ask(kFurtherShards);
      return;
    }
    // The questions hold this search.
    const auto questions = std::move(questions_);
    done_(best_);
  }

  bool IsEnough() const {
    return best_.result.placed && dispatch::IsGoodEnough(*best_.result.placed);
  }

  std::shared_ptr<Placer> placer_;
  PlaceQuery query_;
  // In the order in which they are asked.
  std::vector<dispatch::Shard> shards_;
  Done done_;
  size_t next_ = 0;
  size_t waits_for_ = 0;
  bool widened_ = false;
  bool any_ = false;
  PlaceOffer best_;
  std::vector<std::shared_ptr<Question>> questions_;
};

void Placer::Place(PlaceQuery query, Done done) {
  if (state_.mode != dispatch::PlacementMode::kPredicted ||
      dispatch::EveryoneIsHome(state_.live_instances)) {
    done(Evaluate(query));
    return;
  }
  std::vector<dispatch::Shard> shards = state_.Shards().Of(query.shard.service);
  if (shards.empty()) {
    done(PlaceOffer());
    return;
  }
  std::shuffle(shards.begin(), shards.end(), state_.random);
  std::stable_partition(
      shards.begin(), shards.end(), [&](const dispatch::Shard& shard) {
        return shard.data_centre == state_.settings.data_centre;
      });
  const bool is_long =
      dispatch::MayHaveHelp(query.shape, state_.EngineFor(query));
  const auto search = std::make_shared<Search>(
      shared_from_this(), std::move(query), std::move(shards), std::move(done));
  if (is_long) {
    search->StartWide();
  } else {
    search->StartNear();
  }
}

PlaceOffer Placer::Evaluate(const PlaceQuery& query) {
  const absl::Time now = BootNow();
  auto candidates =
      state_.CandidatesFor(query.shard, query.from, query.excluded, now);
  PlaceOffer offer;
  offer.among = candidates.size();
  if (candidates.empty()) {
    return offer;
  }
  for (dispatch::Candidate& candidate : candidates) {
    candidate.no_helper =
        std::find(query.no_helpers.begin(), query.no_helpers.end(),
                  candidate.id) != query.no_helpers.end();
  }
  offer.result = dispatch::Place(query.shape, state_.EngineFor(query),
                                 candidates, now, state_.Random());
  return offer;
}

PlaceOffer Placer::Answer(const InstanceId& asker, const PlaceQuery& query) {
  PlaceOffer offer;
  if (!state_.view.has_config()) {
    return offer;
  }
  offer = Evaluate(query);
  if (offer.result.placed) {
    const absl::Time now = BootNow();
    const dispatch::Placed& placed = *offer.result.placed;
    for (const auto& [target, item] :
         dispatch::WorkOf(query.shape, state_.EngineFor(query), placed, now)) {
      state_.board.Hold(asker, target, item, now, kHeldPlace);
    }
    state_.rates[placed.target].NoteSend(now);
  }
  return offer;
}

void Placer::TakeOffer(const InstanceId& from,
                       uint64_t id,
                       const PlaceOffer& offer) {
  const auto found = asked_.find(id);
  const auto question = found == asked_.end() ? nullptr : found->second.lock();
  if (question) {
    question->Take(from, offer);
  }
}

}  // namespace umbertrail::front
