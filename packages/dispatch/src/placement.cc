#include "umbertrail/dispatch/placement.h"

#include <algorithm>
#include <cmath>

#include "umbertrail/dispatch/engine_time.h"
#include "umbertrail/dispatch/output_estimator.h"
#include "umbertrail/dispatch/pass_time.h"
#include "umbertrail/dispatch/remaining_work.h"
#include "umbertrail/dispatch/urgency.h"

namespace umbertrail::dispatch {
namespace {

// Prompt length at which a request has twice the value of an empty one.
constexpr double kTokensPerUnitValue = 8000;
// Fraction of a request's value that is lost if it is late.
constexpr double kLateValueLoss = 0.75;
// Width of the transition from on time to late, relative to the SLO.
constexpr double kSloTransitionWidth = 0.08;
// Passes until the first event if other requests are decoding, beside prefill:
// on average half of the running pass, and the pass that does the prefill.
constexpr double kPassesToFirstEvent = 1.5;
// Maximum helpers for one prompt: for speed, and if its memory needs them.
constexpr size_t kMaxHelpersForSpeed = 3;
constexpr size_t kMaxHelpersForMemory = 11;
// Fraction of a target's memory that one prompt may fill alone; the rest is for
// prompts already there.
constexpr double kMaxSingleTargetMemoryFraction = 0.8;
// Fraction of a target's memory that may be reserved for another target's
// prompt.
constexpr double kHelperMemoryFraction = 0.4;
// Fraction of targets kept free of long prefills, for short prompts.
constexpr double kFreeOfLongPrefillFraction = 0.5;
// Above this failure rate a helper costs more than it gains.
constexpr double kMaxHelperFailureRate = 0.1;
// Minimum prefill time for which helpers are worthwhile.
constexpr absl::Duration kMinPrefillForHelpers = absl::Milliseconds(600);
// A first event is late after this multiple of its prediction, plus the margin.
constexpr double kPredictionErrorFactor = 1.5;
constexpr absl::Duration kLatenessMargin = absl::Milliseconds(300);
// At this lateness a target is expected to lose any request sent to it.
constexpr absl::Duration kFullPenaltyLateness = absl::Milliseconds(500);
// Small costs that decide among otherwise equal targets.
constexpr double kPackingBonus = 0.06;
constexpr double kBacklogCostPerSecond = 1.0;
constexpr double kRemoteDataCentreCost = 0.01;
constexpr double kColdCost = 1.0;
constexpr double kHelperCost = 0.1;
constexpr double kTieCost = 0.02;
// Below this cost no further targets are evaluated.
constexpr double kLowCost = 0.1;
// Callers abandon a request after the longest of these.
constexpr absl::Duration kMinPatience = absl::Seconds(2);
constexpr int kPatienceSloMultiple = 4;
constexpr int kPatienceGapMultiple = 8;
// Fraction of the patience within which the predicted first event must lie.
constexpr double kUsablePatienceFraction = 0.8;
// Bounds of Retry-After.
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(200);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(3);
// Queue capacity of a plain service, in multiples of its slots.
constexpr int kPlainQueueSlotMultiple = 4;

// Logistic function of lateness: 0 well before the SLO, 1 well after.
double LatenessFactor(absl::Duration first, absl::Duration aim) {
  const double width =
      std::max(kSloTransitionWidth * absl::ToDoubleSeconds(aim), 0.01);
  const double lateness = absl::ToDoubleSeconds(first - aim) / width;
  return 1 / (1 + std::exp(-lateness));
}

// Value that a request loses if its first event comes after
// `time_to_first_event`.
double LatenessCost(const RequestProfile& request,
                    double value,
                    absl::Duration time_to_first_event) {
  return kLateValueLoss * value *
         LatenessFactor(request.elapsed + time_to_first_event, request.aim);
}

int Occupied(const Candidate& candidate) {
  return static_cast<int>(
      std::count_if(candidate.work.begin(), candidate.work.end(),
                    [](const WorkItem& item) { return !item.is_helper; }));
}

// Value that streams at a target lose by a pass that is too long for them, to a
// request of a certain urgency.
struct PauseLoss {
  double total = 0;
  double more_urgent = 0;

  // Adds the loss of one stream, which pauses with a probability of `share`.
  void Add(const WorkItem& item, double share, int urgency) {
    const double lost = share * kLateValueLoss * item.value *
                        UrgencyWeight(item.urgency, urgency);
    total += lost;
    more_urgent += item.urgency < urgency ? lost : 0;
  }
};

PauseLoss PauseCost(const Candidate& candidate,
                    absl::Duration pass,
                    int urgency) {
  PauseLoss loss;
  for (const WorkItem& item : candidate.work) {
    if (!item.is_helper && item.max_event_gap < pass) {
      loss.Add(item, 1, urgency);
    }
  }
  return loss;
}

// A candidate with its predicted latency and cost.
struct ScoredCandidate {
  const Candidate* candidate = nullptr;
  PassLoad load;
  absl::Duration time_to_first_event;
  // Value that streams there lose by this prefill; part of the cost.
  double pause_cost = 0;
  // The part of it that more urgent streams lose.
  double pause_cost_to_more_urgent = 0;
  double cost = 0;
};

double BaseCost(const Candidate& candidate, double value) {
  double cost = candidate.same_data_centre ? 0 : kRemoteDataCentreCost;
  cost += candidate.cold ? kColdCost * value : 0;
  cost += candidate.failure_rate * value;
  return cost;
}

ScoredCandidate ScorePlain(const Candidate& candidate) {
  const int occupied = Occupied(candidate);
  ScoredCandidate scored;
  scored.candidate = &candidate;
  scored.cost = static_cast<double>(occupied) / std::max(candidate.slots, 1) +
                BaseCost(candidate, 1);
  return scored;
}

// Costs that don't depend on when streams there end.
double SharedCosts(const Candidate& candidate,
                   double value,
                   absl::Duration backlog,
                   absl::Time now) {
  const int occupied = Occupied(candidate);
  double cost = kBacklogCostPerSecond * absl::ToDoubleSeconds(backlog);
  cost += occupied < candidate.slots
              ? -kPackingBonus * occupied / candidate.slots
              : kPackingBonus * (occupied - candidate.slots + 1);
  cost += BaseCost(candidate, value);
  cost +=
      value * std::min(1.0, absl::FDivDuration(OverdueBy(candidate.work, now),
                                               kFullPenaltyLateness));
  return cost;
}

ScoredCandidate ScoreEngine(const RequestProfile& request,
                            const EngineModel& engine,
                            const Candidate& candidate,
                            double value,
                            absl::Time now,
                            const Features& features) {
  const int occupied = Occupied(candidate);
  const absl::Duration prefill = PrefillTime(engine, request.prompt);
  ScoredCandidate scored;
  scored.candidate = &candidate;
  const absl::Duration backlog =
      PrefillBacklog(candidate.work, candidate.slowdown, now);
  scored.load = ComputePassLoad(candidate.work, backlog, candidate.slowdown);
  scored.time_to_first_event = backlog + candidate.slowdown * prefill;
  if (occupied > 0) {
    scored.time_to_first_event +=
        DecodePassTime(engine, occupied) * kPassesToFirstEvent;
  }
  if (occupied >= candidate.slots) {
    // A slot frees up about once per mean stream duration divided by the slots.
    const absl::Duration stream =
        DecodePassTime(engine, occupied) *
        (engine.mean_output_tokens / std::max(engine.steps_per_pass, 1));
    scored.time_to_first_event +=
        stream * (occupied - candidate.slots + 1) / candidate.slots;
  }
  if (features.memory_plan && !NeedsMemoryPlan(engine, request.prompt)) {
    scored.time_to_first_event +=
        MemoryWait(engine, candidate.work, request.prompt, now);
  }
  scored.cost = LatenessCost(request, value, scored.time_to_first_event);
  const PauseLoss pause_loss = PauseCost(
      candidate,
      PassTimeWithPrefill(engine, scored.load, request.prompt, prefill),
      request.urgency);
  scored.pause_cost = pause_loss.total;
  scored.pause_cost_to_more_urgent = pause_loss.more_urgent;
  scored.cost += scored.pause_cost;
  scored.cost += SharedCosts(candidate, value, backlog, now);
  return scored;
}

// Value that the streams at a target lose if the pass in `wait` that reads a
// prompt lasts `pass`. Streams that have ended by then lose nothing.
PauseLoss PauseCost(const Candidate& candidate,
                    const RemainingWork& forecast,
                    absl::Duration wait,
                    absl::Duration pass,
                    int urgency) {
  PauseLoss loss;
  for (const WorkItem& item : candidate.work) {
    if (!item.is_helper && item.max_event_gap < pass) {
      // Earlier prompts are read first, so their streams have begun by then.
      const double share =
          item.prefilling ? 1 : forecast.DecodingShareAt(item, wait);
      loss.Add(item, share, urgency);
    }
  }
  return loss;
}

// Value that the request loses if it is late: by its first event, by its
// longest pause, which is a pass at least, or by its end.
double OwnLateCost(const RequestProfile& request,
                   const EngineModel& engine,
                   double value,
                   absl::Duration time_to_first_event,
                   absl::Duration pass) {
  const absl::Duration first = request.elapsed + time_to_first_event;
  const double events = request.expected_events > 0 ? request.expected_events
                                                    : DefaultEvents(engine);
  double on_time = 1 - LatenessFactor(first, request.aim);
  if (request.max_event_gap < absl::InfiniteDuration()) {
    on_time *= 1 - LatenessFactor(pass, request.max_event_gap);
  }
  const double cut =
      LatenessFactor(first + pass * events, request.time_remaining);
  const double served = 1 - kLateValueLoss * (1 - on_time);
  return value * (1 - served * (1 - cut));
}

// As ScoreEngine, with the slots and the streams that are expected when the
// prompt is read, at the target's measured speed.
ScoredCandidate ScoreByRemainingWork(const RequestProfile& request,
                                     const EngineModel& engine,
                                     const Candidate& candidate,
                                     double value,
                                     absl::Time now,
                                     const Features& features) {
  const RemainingWork forecast(engine, candidate.work,
                               {candidate.slowdown, candidate.decode_slowdown},
                               now);
  const int occupied = Occupied(candidate);
  const absl::Duration prefill = PrefillTime(engine, request.prompt);
  const absl::Duration backlog =
      PrefillBacklog(candidate.work, candidate.slowdown, now);
  const absl::Duration wait = std::max(
      backlog, forecast.TimeUntilSlot(candidate.slots, request.urgency));
  const RemainingWork::DecodeLoad decoding = forecast.DecodeLoadAt(wait);
  ScoredCandidate scored;
  scored.candidate = &candidate;
  scored.load = ComputePassLoad(candidate.work, backlog, candidate.slowdown);
  scored.load.decoding = static_cast<int>(std::lround(decoding.decoding));
  scored.load.context = Tokens(std::llround(decoding.context_tokens));
  const absl::Duration decode_pass =
      DecodePassTime(engine, scored.load) * candidate.decode_slowdown;
  scored.time_to_first_event = wait + candidate.slowdown * prefill;
  if (occupied > 0) {
    scored.time_to_first_event += decode_pass * kPassesToFirstEvent;
  }
  if (features.memory_plan && !NeedsMemoryPlan(engine, request.prompt)) {
    scored.time_to_first_event +=
        MemoryWait(engine, candidate.work, request.prompt, now);
  }
  scored.cost = OwnLateCost(request, engine, value, scored.time_to_first_event,
                            decode_pass);
  const absl::Duration longest_pass =
      PassTimeWithPrefill(engine, scored.load, request.prompt, prefill) -
      DecodePassTime(engine, scored.load) + decode_pass;
  const PauseLoss pause_loss =
      PauseCost(candidate, forecast, wait, longest_pass, request.urgency);
  scored.pause_cost = pause_loss.total;
  scored.pause_cost_to_more_urgent = pause_loss.more_urgent;
  scored.cost +=
      scored.pause_cost + SharedCosts(candidate, value, backlog, now);
  return scored;
}

// Minimum number of helpers for a prompt to fit into memory.
size_t HelpersForMemory(const EngineModel& engine, Tokens prompt) {
  const auto tokens = static_cast<double>(prompt.value());
  const auto memory = static_cast<double>(engine.kv_capacity.value());
  if (memory <= 0 || tokens <= kMaxSingleTargetMemoryFraction * memory) {
    return 0;
  }
  // The first target holds a part as large as each helper's.
  return static_cast<size_t>(
             std::ceil(tokens / (kHelperMemoryFraction * memory))) -
         1;
}

bool HasLongPrefill(const Candidate& candidate) {
  return std::any_of(
      candidate.work.begin(), candidate.work.end(), [](const WorkItem& item) {
        return item.prefilling && item.prefill_time >= kMinPrefillForHelpers;
      });
}

// Maximum targets with a long prefill at once.
size_t MaxLongPrefills(const std::vector<ScoredCandidate>& sorted,
                       const Features& features) {
  double fraction_free = kFreeOfLongPrefillFraction;
  if (features.memory_plan) {
    size_t streams = 0;
    for (const ScoredCandidate& one : sorted) {
      streams += static_cast<size_t>(
          std::count_if(one.candidate->work.begin(), one.candidate->work.end(),
                        [](const WorkItem& item) {
                          return !item.is_helper &&
                                 item.max_event_gap < kMinPrefillForHelpers;
                        }));
    }
    fraction_free = FractionFreeOfLongPrefills(streams, sorted.size(),
                                               sorted.front().candidate->slots);
  }
  return static_cast<size_t>(
      std::ceil((1 - fraction_free) * static_cast<double>(sorted.size())));
}

// Maximum helpers for one prompt, so that enough targets stay free of long
// prefills.
size_t MaxHelpers(const std::vector<ScoredCandidate>& sorted,
                  size_t max_long_prefills) {
  const auto prefilling = static_cast<size_t>(std::count_if(
      sorted.begin(), sorted.end(), [](const ScoredCandidate& one) {
        return HasLongPrefill(*one.candidate);
      }));
  return max_long_prefills > prefilling ? max_long_prefills - prefilling - 1
                                        : 0;
}

// Adds helpers for a long prompt: as many as its memory needs, and more while
// they lower the cost. Returns false if there are too few.
bool AddHelpers(const RequestProfile& request,
                const EngineModel& engine,
                const std::vector<ScoredCandidate>& sorted,
                double value,
                size_t max_long_prefills,
                PlacementDecision* decision) {
  const absl::Duration prefill = PrefillTime(engine, request.prompt);
  const size_t needed = HelpersForMemory(engine, request.prompt);
  if (needed == 0 && (prefill < kMinPrefillForHelpers || sorted.size() < 2)) {
    return true;
  }
  const ScoredCandidate& first = sorted.front();
  const absl::Duration others =
      first.time_to_first_event - prefill * first.candidate->slowdown;
  double best = needed == 0 ? first.cost : HUGE_VAL;
  double pause_cost = 0;
  std::vector<TargetId> helpers;
  const double late_before =
      LatenessFactor(request.elapsed + first.time_to_first_event, request.aim);
  const size_t most =
      std::min(needed == 0 ? kMaxHelpersForSpeed : kMaxHelpersForMemory,
               MaxHelpers(sorted, max_long_prefills));
  for (size_t i = 1; i < sorted.size() && helpers.size() < most; ++i) {
    const Candidate& helper = *sorted[i].candidate;
    if (helper.cold || helper.failure_rate > kMaxHelperFailureRate ||
        helper.excluded_as_helper) {
      continue;
    }
    pause_cost += sorted[i].pause_cost + kHelperCost;
    helpers.push_back(helper.id);
    const double parts = static_cast<double>(helpers.size()) + 1;
    const absl::Duration time_to_first_event = others + prefill / parts;
    const double late =
        LatenessFactor(request.elapsed + time_to_first_event, request.aim);
    const double cost =
        first.cost + kLateValueLoss * value * (late - late_before) + pause_cost;
    if (helpers.size() >= needed && cost < best) {
      best = cost;
      decision->helpers = helpers;
      decision->time_to_first_event = time_to_first_event;
      decision->cost = cost;
    }
  }
  if (needed > 0 && !decision->helpers.empty()) {
    const auto parts = static_cast<int64_t>(decision->helpers.size()) + 1;
    decision->reserve_per_helper = Tokens(request.prompt.value() / parts + 1);
  }
  return decision->helpers.size() >= needed;
}

double CostToMoreUrgent(const PlacementDecision& decision,
                        const std::vector<ScoredCandidate>& scored) {
  double cost = 0;
  for (const ScoredCandidate& one : scored) {
    const TargetId& id = one.candidate->id;
    if (id == decision.target ||
        std::find(decision.helpers.begin(), decision.helpers.end(), id) !=
            decision.helpers.end()) {
      cost += one.pause_cost_to_more_urgent;
    }
  }
  return cost;
}

// How long the caller still waits for a first event.
absl::Duration RemainingPatience(const RequestProfile& request) {
  return std::min(request.time_remaining,
                  Patience(request.aim, request.max_event_gap)) -
         request.elapsed;
}

PlanTarget ToPlanTarget(const RequestProfile& request,
                        const EngineModel& engine,
                        const ScoredCandidate& scored,
                        double value,
                        absl::Time now) {
  const Candidate& candidate = *scored.candidate;
  PlanTarget target;
  target.reservable = ReservableMemory(engine, candidate.work);
  target.memory_wait = MemoryWait(engine, candidate.work, request.prompt, now);
  target.slowdown = candidate.slowdown;
  target.wait = scored.time_to_first_event -
                PrefillTime(engine, request.prompt) * candidate.slowdown;
  target.cost =
      scored.cost - LatenessCost(request, value, scored.time_to_first_event);
  target.may_help = !candidate.cold && !candidate.excluded_as_helper &&
                    candidate.failure_rate <= kMaxHelperFailureRate;
  target.has_long_prefill = HasLongPrefill(candidate);
  return target;
}

// Chooses the target and the helpers of a prompt whose memory must be planned.
std::optional<PlanBound> DecideByPlan(
    const RequestProfile& request,
    const EngineModel& engine,
    const std::vector<ScoredCandidate>& sorted,
    double value,
    size_t max_long_prefills,
    absl::Time now,
    PlacementDecision* decision) {
  PlanRequest plan_request;
  plan_request.prompt = request.prompt;
  plan_request.prefill = PrefillTime(engine, request.prompt);
  plan_request.max_long_prefills = max_long_prefills;
  plan_request.max_time_to_first_event =
      RemainingPatience(request) * kUsablePatienceFraction;
  plan_request.helper_cost = kHelperCost;
  plan_request.lateness_cost = [&](absl::Duration time_to_first_event) {
    return LatenessCost(request, value, time_to_first_event);
  };
  std::vector<PlanTarget> targets;
  targets.reserve(sorted.size());
  for (const ScoredCandidate& scored : sorted) {
    targets.push_back(ToPlanTarget(request, engine, scored, value, now));
  }
  const MemoryPlanResult result = PlanMemory(plan_request, targets);
  if (const auto* bound = std::get_if<PlanBound>(&result)) {
    return *bound;
  }
  const auto& plan = std::get<MemoryPlan>(result);
  decision->target = sorted[plan.first].candidate->id;
  decision->time_to_first_event = plan.time_to_first_event;
  decision->cost = plan.cost;
  for (const PlanPart& part : plan.helpers) {
    decision->helpers.push_back(sorted[part.target].candidate->id);
    decision->tickets.push_back(part.ticket);
    decision->reserve_per_helper =
        std::max(decision->reserve_per_helper, part.ticket);
  }
  return std::nullopt;
}

// Decides on the helpers of a long prompt. False if it can't be placed.
bool DecideHelpers(const RequestProfile& request,
                   const EngineModel& engine,
                   const std::vector<ScoredCandidate>& sorted,
                   double value,
                   absl::Time now,
                   const Features& features,
                   PlacementResult* result,
                   PlacementDecision* decision) {
  const size_t max_long_prefills = MaxLongPrefills(sorted, features);
  if (!features.memory_plan || !NeedsMemoryPlan(engine, request.prompt)) {
    return AddHelpers(request, engine, sorted, value, max_long_prefills,
                      decision);
  }
  result->plan_bound = DecideByPlan(request, engine, sorted, value,
                                    max_long_prefills, now, decision);
  return !result->plan_bound;
}

}  // namespace

Tokens TicketOf(const PlacementDecision& decision, size_t helper) {
  return decision.tickets.empty() ? decision.reserve_per_helper
                                  : decision.tickets.at(helper);
}

std::optional<PlacementMode> ParsePlacementMode(absl::string_view name) {
  if (name == "predicted") {
    return PlacementMode::kPredicted;
  }
  if (name == "least-connections") {
    return PlacementMode::kLeastConnections;
  }
  if (name == "random") {
    return PlacementMode::kRandom;
  }
  return std::nullopt;
}

double RequestValue(Tokens prompt) {
  return 1 + static_cast<double>(prompt.value()) / kTokensPerUnitValue;
}

absl::Duration Patience(absl::Duration aim, absl::Duration max_event_gap) {
  absl::Duration patience = std::max(kMinPatience, aim * kPatienceSloMultiple);
  if (max_event_gap < absl::InfiniteDuration()) {
    patience = std::max(patience, max_event_gap * kPatienceGapMultiple);
  }
  return patience;
}

absl::Duration PrefillBacklog(const std::vector<WorkItem>& work,
                              double slowdown,
                              absl::Time now) {
  std::vector<const WorkItem*> prefilling;
  for (const WorkItem& item : work) {
    if (item.prefilling) {
      prefilling.push_back(&item);
    }
  }
  std::sort(prefilling.begin(), prefilling.end(),
            [](const WorkItem* a, const WorkItem* b) {
              return a->sent_at < b->sent_at;
            });
  absl::Time free = absl::InfinitePast();
  for (const WorkItem* item : prefilling) {
    free = std::max(free, item->sent_at) + item->prefill_time * slowdown;
  }
  return std::max(absl::ZeroDuration(), free - now);
}

absl::Duration OverdueBy(const std::vector<WorkItem>& work, absl::Time now) {
  absl::Duration overdue = absl::ZeroDuration();
  for (const WorkItem& item : work) {
    if (item.prefilling && !item.is_helper) {
      overdue = std::max(overdue,
                         now - item.sent_at -
                             item.time_to_first_event * kPredictionErrorFactor -
                             kLatenessMargin);
    }
  }
  return overdue;
}

absl::Duration RerouteTimeout(absl::Duration time_to_first_event,
                              absl::Duration aim,
                              absl::Duration max_event_gap) {
  return std::max(time_to_first_event * 2 + kLatenessMargin,
                  Patience(aim, max_event_gap) / 2);
}

bool CanUseHelpers(const RequestProfile& request, const EngineModel* engine) {
  return engine != nullptr &&
         PrefillTime(*engine, request.prompt) >= kMinPrefillForHelpers;
}

bool IsLowCost(const PlacementDecision& decision) {
  return decision.cost < kLowCost;
}

std::vector<std::pair<TargetId, WorkItem>> WorkItemsFor(
    const RequestProfile& request,
    const EngineModel* engine,
    const PlacementDecision& decision,
    absl::Time now) {
  WorkItem item;
  item.sent_at = now;
  item.max_event_gap = request.max_event_gap;
  item.value = RequestValue(request.prompt);
  item.urgency = request.urgency;
  item.expected_events = request.expected_events;
  item.account = request.account;
  const auto parts = static_cast<int64_t>(decision.helpers.size()) + 1;
  item.prompt = Tokens(request.prompt.value() / parts);
  if (engine != nullptr) {
    item.prefill_time =
        PrefillTime(*engine, request.prompt) / static_cast<double>(parts);
    item.prefilling = true;
    item.time_to_first_event = decision.time_to_first_event;
  }
  std::vector<std::pair<TargetId, WorkItem>> work = {{decision.target, item}};
  item.is_helper = true;
  int64_t reserved = 0;
  for (size_t i = 0; i < decision.helpers.size(); ++i) {
    const Tokens ticket = TicketOf(decision, i);
    item.memory = ticket;
    reserved += ticket.value();
    work.emplace_back(decision.helpers[i], item);
  }
  if (!decision.helpers.empty()) {
    work.front().second.memory =
        Tokens(std::max<int64_t>(0, request.prompt.value() - reserved));
  }
  return work;
}

PlacementResult Place(const RequestProfile& request,
                      const EngineModel* engine,
                      const std::vector<Candidate>& candidates,
                      absl::Time now,
                      double tie,
                      const Features& features) {
  const double value = RequestValue(request.prompt);
  std::vector<ScoredCandidate> scored;
  scored.reserve(candidates.size());
  absl::Duration min_wait = kMaxRetryAfter;
  const absl::Duration patience = RemainingPatience(request);
  // Then the predicted time is checked after helpers are added.
  const bool can_use_helpers = CanUseHelpers(request, engine);
  PlacementResult result;
  size_t index = 0;
  for (const Candidate& candidate : candidates) {
    ++index;
    if (candidate.rate_wait > absl::ZeroDuration()) {
      min_wait = std::min(min_wait, candidate.rate_wait);
      continue;
    }
    const auto score_engine =
        features.remaining_work ? &ScoreByRemainingWork : &ScoreEngine;
    ScoredCandidate one =
        engine != nullptr
            ? score_engine(request, *engine, candidate, value, now, features)
            : ScorePlain(candidate);
    if (engine != nullptr) {
      result.min_time_to_first_event =
          std::min(result.min_time_to_first_event, one.time_to_first_event);
    }
    if (engine != nullptr && !can_use_helpers &&
        one.time_to_first_event > patience * kUsablePatienceFraction) {
      min_wait = std::min(min_wait, one.time_to_first_event -
                                        patience * kUsablePatienceFraction);
      continue;
    }
    if (engine == nullptr &&
        Occupied(candidate) >=
            candidate.slots * (1 + kPlainQueueSlotMultiple)) {
      min_wait = kMinRetryAfter;
      continue;
    }
    const double jitter = tie + static_cast<double>(index) * 0.6180339887;
    one.cost += kTieCost * (jitter - std::floor(jitter));
    scored.push_back(one);
  }
  if (scored.empty()) {
    result.retry_after = std::max(kMinRetryAfter, min_wait);
    return result;
  }
  std::sort(scored.begin(), scored.end(),
            [](const ScoredCandidate& a, const ScoredCandidate& b) {
              return a.cost < b.cost;
            });
  PlacementDecision decision;
  decision.target = scored.front().candidate->id;
  decision.time_to_first_event = scored.front().time_to_first_event;
  decision.cost = scored.front().cost;
  if (can_use_helpers &&
      (!DecideHelpers(request, *engine, scored, value, now, features, &result,
                      &decision) ||
       decision.time_to_first_event > patience * kUsablePatienceFraction)) {
    result.retry_after = std::clamp(
        decision.time_to_first_event - patience * kUsablePatienceFraction,
        kMinRetryAfter, kMaxRetryAfter);
    return result;
  }
  decision.cost_to_more_urgent = CostToMoreUrgent(decision, scored);
  result.decision = std::move(decision);
  return result;
}

}  // namespace umbertrail::dispatch
