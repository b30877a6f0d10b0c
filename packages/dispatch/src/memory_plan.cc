#include "umbertrail/dispatch/memory_plan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <utility>

#include "umbertrail/dispatch/engine_time.h"

namespace umbertrail::dispatch {
namespace {

// Up to this fraction of an engine's memory a prompt is sent to one engine
// without a plan.
constexpr double kUnplannedMemoryFraction = 0.8;
// Memory in use beyond the known prompts, as a fraction of these: the tokens
// that their streams have generated.
constexpr double kGeneratedTokensFraction = 0.1;
// Fraction of an engine's memory that no reservation takes: prompts that are on
// their way there aren't known yet.
constexpr double kUnreservedMemoryFraction = 0.03;
// Fraction of targets kept free of long prefills whatever the load, and at
// most. Less than half leaves too few when short prompts become many while long
// ones are being prefilled; above the maximum long ones would be shut out.
constexpr double kMinFractionFree = 0.5;
constexpr double kMaxFractionFree = 0.8;
// Capacity kept for short streams, as a multiple of what they occupy now.
constexpr double kShortStreamMargin = 2;
// A stream beyond its expected end is expected to last this much longer.
constexpr absl::Duration kOverdueStreamTime = absl::Milliseconds(200);

double ToDouble(Tokens tokens) {
  return static_cast<double>(tokens.value());
}

// An instance that states no memory of a helper reserves as much as the
// helper's part, and reports it until the prefill has ended.
Tokens MemoryOf(const WorkItem& item) {
  return item.memory.value_or(item.prompt);
}

// When the memory of an item is expected to be free.
absl::Time MemoryFreeAt(const WorkItem& item,
                        absl::Duration event_time,
                        double mean_events,
                        absl::Time now) {
  const double events =
      item.expected_events > 0 ? item.expected_events : mean_events;
  const absl::Duration to_first_event =
      item.time_to_first_event < absl::InfiniteDuration()
          ? item.time_to_first_event
          : item.prefill_time;
  const absl::Time first = item.first_event_at != absl::InfinitePast()
                               ? item.first_event_at
                               : item.sent_at + to_first_event;
  const absl::Time end = first + event_time * events;
  return std::max(end, now + kOverdueStreamTime);
}

// A set of targets for a plan, the first of which receives the request.
using TargetSet = std::vector<size_t>;

// The `count` targets that come first among those that can hold at least
// `min_tokens`; nothing if there are fewer, or their memory doesn't suffice.
std::optional<TargetSet> SelectTargets(const PlanRequest& request,
                                       const std::vector<PlanTarget>& targets,
                                       size_t count,
                                       double min_tokens) {
  TargetSet selected;
  double reservable = 0;
  for (size_t i = 0; i < targets.size() && selected.size() < count; ++i) {
    if (ToDouble(targets[i].reservable) >= min_tokens &&
        (selected.empty() || targets[i].may_help)) {
      selected.push_back(i);
      reservable += ToDouble(targets[i].reservable);
    }
  }
  if (selected.size() < count || reservable < ToDouble(request.prompt)) {
    return std::nullopt;
  }
  return selected;
}

// True if enough targets stay free of long prefills.
bool LeavesEnoughFree(const PlanRequest& request,
                      const std::vector<PlanTarget>& targets,
                      const TargetSet& selected) {
  const auto prefilling =
      std::count_if(targets.begin(), targets.end(),
                    [](const PlanTarget& one) { return one.has_long_prefill; });
  const auto added = std::count_if(
      selected.begin(), selected.end(),
      [&](size_t index) { return !targets[index].has_long_prefill; });
  return static_cast<size_t>(prefilling + added) <= request.max_long_prefills;
}

// The parts of the helpers in `selected`. The first target holds a part too,
// and the fewest others do, those with the most free memory.
std::vector<PlanPart> Tickets(const PlanRequest& request,
                              const std::vector<PlanTarget>& targets,
                              const TargetSet& selected) {
  std::vector<PlanPart> parts;
  for (size_t i = 1; i < selected.size(); ++i) {
    parts.push_back({selected[i], Tokens(0)});
  }
  std::stable_sort(
      parts.begin(), parts.end(), [&](const PlanPart& a, const PlanPart& b) {
        return targets[a.target].reservable > targets[b.target].reservable;
      });
  const double prompt = ToDouble(request.prompt);
  double reservable = ToDouble(targets[selected.front()].reservable);
  size_t holders = 0;
  while (reservable < prompt && holders < parts.size()) {
    reservable += ToDouble(targets[parts[holders++].target].reservable);
  }
  for (size_t i = 0; i < holders; ++i) {
    parts[i].ticket = Tokens(static_cast<int64_t>(
        std::ceil(ToDouble(targets[parts[i].target].reservable) *
                  std::min(1.0, prompt / reservable))));
  }
  return parts;
}

// The time to the first event, and the cost, of a prompt in even parts.
MemoryPlan Evaluate(const PlanRequest& request,
                    const std::vector<PlanTarget>& targets,
                    const TargetSet& selected) {
  MemoryPlan plan;
  plan.first = selected.front();
  const auto parts = static_cast<double>(selected.size());
  for (const size_t index : selected) {
    const PlanTarget& target = targets[index];
    plan.time_to_first_event =
        std::max(plan.time_to_first_event,
                 target.wait + request.prefill * (target.slowdown / parts));
    plan.cost += target.cost;
  }
  plan.cost += request.helper_cost * (parts - 1) +
               request.lateness_cost(plan.time_to_first_event);
  return plan;
}

// The best target that holds the whole prompt alone, now or soon.
std::optional<MemoryPlan> PlanAlone(const PlanRequest& request,
                                    const std::vector<PlanTarget>& targets) {
  std::optional<MemoryPlan> best;
  for (size_t i = 0; i < targets.size(); ++i) {
    const PlanTarget& target = targets[i];
    if (target.memory_wait == absl::InfiniteDuration()) {
      continue;
    }
    MemoryPlan plan;
    plan.first = i;
    plan.time_to_first_event = std::max(target.wait, target.memory_wait) +
                               request.prefill * target.slowdown;
    plan.cost = target.cost + request.lateness_cost(plan.time_to_first_event);
    if (plan.time_to_first_event > request.max_time_to_first_event) {
      continue;
    }
    if (!best || plan.cost < best->cost) {
      best = std::move(plan);
    }
  }
  return best;
}

}  // namespace

Tokens MemoryInUse(const std::vector<WorkItem>& work) {
  Tokens used(0);
  for (const WorkItem& item : work) {
    used = Tokens(used.value() + MemoryOf(item).value());
  }
  return used;
}

Tokens ReservableMemory(const EngineModel& engine,
                        const std::vector<WorkItem>& work) {
  const double free =
      ToDouble(engine.kv_capacity) * (1 - kUnreservedMemoryFraction) -
      ToDouble(MemoryInUse(work)) * (1 + kGeneratedTokensFraction);
  return Tokens(static_cast<int64_t>(std::max(0.0, free)));
}

absl::Duration MemoryWait(const EngineModel& engine,
                          const std::vector<WorkItem>& work,
                          Tokens prompt,
                          absl::Time now) {
  const int64_t capacity = engine.kv_capacity.value();
  if (capacity <= 0) {
    return absl::ZeroDuration();
  }
  if (prompt.value() > capacity) {
    return absl::InfiniteDuration();
  }
  int64_t used = MemoryInUse(work).value();
  if (used + prompt.value() <= capacity) {
    return absl::ZeroDuration();
  }
  const absl::Duration event_time =
      DecodePassTime(engine, static_cast<int>(work.size()));
  const double mean_events =
      engine.mean_output_tokens / std::max(engine.steps_per_pass, 1);
  std::vector<std::pair<absl::Time, int64_t>> released;
  released.reserve(work.size());
  for (const WorkItem& item : work) {
    released.emplace_back(MemoryFreeAt(item, event_time, mean_events, now),
                          MemoryOf(item).value());
  }
  std::sort(released.begin(), released.end());
  for (const auto& [at, tokens] : released) {
    used -= tokens;
    if (used + prompt.value() <= capacity) {
      return at - now;
    }
  }
  return absl::ZeroDuration();
}

bool NeedsMemoryPlan(const EngineModel& engine, Tokens prompt) {
  return engine.kv_capacity > Tokens(0) &&
         ToDouble(prompt) >
             kUnplannedMemoryFraction * ToDouble(engine.kv_capacity);
}

double FractionFreeOfLongPrefills(size_t streams, size_t targets, int slots) {
  const double all = static_cast<double>(targets) * std::max(slots, 1);
  const double occupied = all > 0 ? static_cast<double>(streams) / all : 0;
  return std::clamp(kShortStreamMargin * occupied, kMinFractionFree,
                    kMaxFractionFree);
}

absl::string_view NameOf(PlanBound bound) {
  switch (bound) {
    case PlanBound::kMemory:
      return "memory";
    case PlanBound::kLongPrefills:
      return "long_prefills";
    case PlanBound::kTime:
      return "time";
  }
  return "";
}

MemoryPlanResult PlanMemory(const PlanRequest& request,
                            const std::vector<PlanTarget>& targets) {
  std::optional<MemoryPlan> best = PlanAlone(request, targets);
  PlanBound bound = PlanBound::kMemory;
  // Even parts leave the most room at each target; uneven ones find room where
  // the targets' free memory differs.
  constexpr std::array<double, 3> kMinShareOfEvenPart = {1, 0.5, 0};
  const size_t most = std::min(kMaxPlanTargets, targets.size());
  std::optional<TargetSet> best_set;
  for (size_t count = 2; count <= most; ++count) {
    for (const double share : kMinShareOfEvenPart) {
      const double even = ToDouble(request.prompt) / static_cast<double>(count);
      const auto selected =
          SelectTargets(request, targets, count, share * even);
      if (!selected) {
        continue;
      }
      if (!LeavesEnoughFree(request, targets, *selected)) {
        bound = PlanBound::kLongPrefills;
        continue;
      }
      MemoryPlan plan = Evaluate(request, targets, *selected);
      if (plan.time_to_first_event > request.max_time_to_first_event) {
        bound = PlanBound::kTime;
        continue;
      }
      if (!best || plan.cost < best->cost) {
        best = std::move(plan);
        best_set = selected;
      }
    }
  }
  if (!best) {
    return bound;
  }
  if (best_set) {
    best->helpers = Tickets(request, targets, *best_set);
  }
  return *std::move(best);
}

}  // namespace umbertrail::dispatch
