#include "umbertrail/dispatch/priority_order.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "umbertrail/base/hash.h"
#include "umbertrail/dispatch/engine_time.h"
#include "umbertrail/dispatch/load_forecast.h"

namespace umbertrail::dispatch {
namespace {

// Part of its client's time that a request may wait.
constexpr int kMaxWaitDivisor = 3;
// Room may come earlier than expected, so waiting requests ask again soon, but
// no sooner than the messages are worth.
constexpr absl::Duration kAskInterval = absl::Milliseconds(100);
constexpr absl::Duration kMinAskInterval = absl::Milliseconds(30);
// A request that asks again may be late by this; covers a search over several
// homes of which one doesn't answer.
constexpr absl::Duration kAskGrace = absl::Milliseconds(150);
// Bounds of Retry-After.
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(200);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(3);

absl::Duration ClientTime(const RequestProfile& request) {
  return std::min(request.time_remaining,
                  Patience(request.aim, request.max_event_gap));
}

bool IsOnTime(const RequestProfile& request, absl::Duration first_event) {
  return request.elapsed + first_event <= request.aim;
}

// Requests of one account that look the same are interchangeable.
WaitingKey KeyOf(const RequestProfile& request) {
  return StableHash(absl::StrCat(request.account.value(), "/",
                                 request.prompt.value(), "/",
                                 absl::ToInt64Milliseconds(request.aim)));
}

// Whether engines are expected to have room for a request after that time.
bool WillHaveRoom(RequestProfile request,
                  const EngineModel& engine,
                  std::vector<Candidate> candidates,
                  absl::Time now,
                  absl::Duration after,
                  const Features& features) {
  request.elapsed += after;
  return Place(request, &engine,
               ForecastLoad(std::move(candidates), engine, now, after),
               now + after, 0, features)
      .decision.has_value();
}

// The longest time that a request may still wait.
absl::Duration MaxWait(const RequestProfile& request,
                       const PlacementResult& result) {
  const absl::Duration wait =
      ClientTime(request) / kMaxWaitDivisor - request.elapsed;
  if (!result.decision ||
      !IsOnTime(request, result.decision->time_to_first_event)) {
    return wait;
  }
  // Giving way must not make it late.
  return std::min(wait, request.aim - request.elapsed -
                            result.decision->time_to_first_event);
}

// First event on idle engines.
absl::Duration SoonestFirstEvent(const RequestProfile& request,
                                 const EngineModel& engine) {
  const absl::Duration prefill = PrefillTime(engine, request.prompt);
  return CanUseHelpers(request, &engine) ? prefill / 2 : prefill;
}

// Whether a request sent to a target starts its prefill at once.
bool IsFree(const TargetId& target,
            const std::vector<Candidate>& candidates,
            absl::Time now) {
  const auto found = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const Candidate& candidate) { return candidate.id == target; });
  if (found == candidates.end()) {
    return false;
  }
  const auto occupied =
      std::count_if(found->work.begin(), found->work.end(),
                    [](const WorkItem& item) { return !item.is_helper; });
  return occupied < found->slots && PrefillBacklog(found->work, found->slowdown,
                                                   now) <= absl::ZeroDuration();
}

// Time after which a client that comes again would be served on time.
absl::Duration TimeToBeOnTime(const RequestProfile& request,
                              const PlacementResult& result) {
  return std::clamp(result.decision->time_to_first_event - request.aim,
                    kMinRetryAfter, kMaxRetryAfter);
}

void AddLoad(const std::vector<const WaitingRequest*>& waiting,
             absl::Time now,
             std::vector<Candidate>* candidates) {
  for (const WaitingRequest* request : waiting) {
    for (const auto& [target, item] : request->room) {
      for (Candidate& candidate : *candidates) {
        if (candidate.id == target) {
          candidate.work.push_back(item);
          candidate.work.back().sent_at = now;
        }
      }
    }
  }
}

}  // namespace

absl::string_view NameOf(YieldReason reason) {
  switch (reason) {
    case YieldReason::kNone:
      return "none";
    case YieldReason::kNoRoom:
      return "no_room";
    case YieldReason::kMoreUrgent:
      return "more_urgent";
    case YieldReason::kShare:
      return "share";
    case YieldReason::kLate:
      return "late";
  }
  return "none";
}

absl::Duration ExpectedEngineTime(const RequestProfile& request,
                                  const EngineModel& engine) {
  const int slots = std::max(engine.slots, 1);
  const double passes =
      request.expected_events > 0
          ? request.expected_events
          : engine.mean_output_tokens / std::max(engine.steps_per_pass, 1);
  return PrefillTime(engine, request.prompt) +
         DecodePassTime(engine, slots) * passes / slots;
}

OrderedPlacement PriorityOrder::PlaceInOrder(const RequestProfile& request,
                                             const EngineModel& engine,
                                             std::vector<Candidate> candidates,
                                             absl::Time now,
                                             double tie) {
  OrderedPlacement placed;
  line_.RemoveLapsed(now);
  if (options_.fair_shares) {
    shares_.Sample(candidates, now);
    placed.standing = shares_.StandingOf(request.account);
  }
  if (request.is_retry) {
    placed.result =
        Place(request, &engine, candidates, now, tie, options_.placement);
    return placed;
  }
  const WaitingKey key = KeyOf(request);
  WaitingRank rank;
  rank.urgency = request.urgency;
  rank.above_share = placed.standing.above_share;
  rank.can_be_on_time = IsOnTime(request, SoonestFirstEvent(request, engine));
  rank.since = now - request.elapsed;
  const auto ahead = line_.Before(key, rank, now);
  placed.ahead = ahead.size();
  placed.waited = line_.Find(key) != nullptr;
  AddLoad(ahead, now, &candidates);
  placed.result =
      Place(request, &engine, candidates, now, tie, options_.placement);
  placed.reason =
      ReasonToYield(request, rank.can_be_on_time, candidates, now, placed);
  if (options_.fair_shares) {
    RecordDemand(request, engine, placed);
  }
  if (placed.reason != YieldReason::kNone &&
      placed.reason != YieldReason::kLate && options_.waiting_line) {
    placed.max_wait = MaxWait(request, placed.result);
    const bool may_wait =
        placed.max_wait >= kMinAskInterval &&
        (placed.result.decision ||
         WillHaveRoom(request, engine, std::move(candidates), now,
                      placed.max_wait, options_.placement));
    if (may_wait && Wait(request, engine, {key, rank, now, {}}, &placed)) {
      return placed;
    }
  }
  line_.Remove(key);
  if (placed.reason == YieldReason::kShare ||
      placed.reason == YieldReason::kLate) {
    placed.result.retry_after = TimeToBeOnTime(request, placed.result);
    placed.result.decision.reset();
  }
  return placed;
}

void PriorityOrder::RecordDemand(const RequestProfile& request,
                                 const EngineModel& engine,
                                 const OrderedPlacement& placed) {
  const absl::Duration engine_time = ExpectedEngineTime(request, engine);
  const bool is_met =
      placed.reason == YieldReason::kNone &&
      IsOnTime(request, placed.result.decision->time_to_first_event);
  if (is_met && placed.waited) {
    shares_.RecordServed(request.account, engine_time);
  } else if (!is_met && !placed.waited) {
    shares_.RecordShortfall(request.account, engine_time);
  }
}

YieldReason PriorityOrder::ReasonToYield(
    const RequestProfile& request,
    bool can_be_on_time,
    const std::vector<Candidate>& candidates,
    absl::Time now,
    const OrderedPlacement& placed) const {
  if (!placed.result.decision) {
    return YieldReason::kNoRoom;
  }
  const PlacementDecision& decision = *placed.result.decision;
  const bool is_free = IsFree(decision.target, candidates, now);
  if (options_.waiting_line && can_be_on_time && !is_free &&
      !IsOnTime(request, decision.time_to_first_event)) {
    return YieldReason::kLate;
  }
  if (placed.standing.above_share && !is_free) {
    return YieldReason::kShare;
  }
  if (options_.waiting_line && decision.cost_to_more_urgent > 0) {
    return YieldReason::kMoreUrgent;
  }
  return YieldReason::kNone;
}

bool PriorityOrder::Wait(const RequestProfile& request,
                         const EngineModel& engine,
                         WaitingRequest entry,
                         OrderedPlacement* placed) {
  const absl::Time now = entry.lapses_at;
  const absl::Duration ask_again = std::min(placed->max_wait, kAskInterval);
  const auto& decision = placed->result.decision;
  entry.lapses_at = now + ask_again + kAskGrace;
  if (decision) {
    entry.room = WorkItemsFor(request, &engine, *decision, now);
    entry.rank.can_be_on_time =
        IsOnTime(request, decision->time_to_first_event);
  }
  if (!line_.Put(std::move(entry), now)) {
    return false;
  }
  placed->ask_again = ask_again;
  placed->result.retry_after = ask_again;
  placed->result.decision.reset();
  return true;
}

}  // namespace umbertrail::dispatch
