#ifndef UMBERTRAIL_DISPATCH_MEMORY_PLAN_H_
#define UMBERTRAIL_DISPATCH_MEMORY_PLAN_H_

#include <cstddef>
#include <functional>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/load_board.h"

// KV cache memory of engines: what is known to be in use, and which engines
// together hold a prompt that nearly fills one engine or exceeds it.

namespace umbertrail::dispatch {

// Most targets that one prompt may use: the engine that receives it, and the
// helpers that the engine's protocol allows.
inline constexpr size_t kMaxPlanTargets = 17;

// Memory known to be in use at a target: the prompts of its requests, and what
// helpers hold by reservation.
Tokens MemoryInUse(const std::vector<WorkItem>& work);

// Memory that may be reserved at a target now: what isn't known to be in use,
// less a margin for what isn't known.
Tokens ReservableMemory(const EngineModel& engine,
                        const std::vector<WorkItem>& work);

// Estimated time until a prompt fits into a target's memory beside its other
// work. Zero if it does now; infinite if it exceeds the engine's memory.
absl::Duration MemoryWait(const EngineModel& engine,
                          const std::vector<WorkItem>& work,
                          Tokens prompt,
                          absl::Time now);

// True if a prompt nearly fills an engine's memory or exceeds it, so that its
// memory must be planned.
bool NeedsMemoryPlan(const EngineModel& engine, Tokens prompt);

// Fraction of a shard's targets to keep free of long prefills: what streams
// whose accepted pause is below `pause` occupy, with a margin for more of them.
// `streams` is their number at `targets` targets with `slots` slots each.
double FractionFreeOfLongPrefills(size_t streams, size_t targets, int slots);

// A target that a plan may use.
struct PlanTarget {
  Tokens reservable;
  // Time until it starts the prefill of a part of the prompt.
  absl::Duration wait;
  // Time until it holds the whole prompt alone; infinite if it never does.
  absl::Duration memory_wait = absl::InfiniteDuration();
  // Ratio of actual to modelled prefill times.
  double slowdown = 1;
  // Cost of prefilling a part there, without the lateness of the prompt itself.
  double cost = 0;
  bool may_help = false;
  // It prefills a long prompt already.
  bool has_long_prefill = false;
};

struct PlanRequest {
  Tokens prompt;
  // Prefill time of the whole prompt on an idle engine.
  absl::Duration prefill;
  // Most targets at once with a long prefill, if several share this one.
  size_t max_long_prefills = 0;
  // The caller leaves if the first event comes later.
  absl::Duration max_time_to_first_event = absl::InfiniteDuration();
  // Cost of each target beyond the first.
  double helper_cost = 0;
  // Cost of a first event after that time.
  std::function<double(absl::Duration time_to_first_event)> lateness_cost;
};

// A target's part in a plan.
struct PlanPart {
  // Index among the targets of the plan's input.
  size_t target = 0;
  // Memory to reserve there; zero if it only prefills.
  Tokens ticket;
};

struct MemoryPlan {
  // The target that receives the request; it holds what the helpers don't.
  size_t first = 0;
  std::vector<PlanPart> helpers;
  absl::Duration time_to_first_event;
  double cost = 0;
};

// Why a prompt can't be planned now.
enum class PlanBound {
  // The targets' free memory doesn't suffice.
  kMemory,
  // It would suffice, but too few targets would stay free of long prefills.
  kLongPrefills,
  // The first event would come too late.
  kTime,
};
absl::string_view NameOf(PlanBound bound);

using MemoryPlanResult = std::variant<MemoryPlan, PlanBound>;

// Chooses the engine and its helpers as a whole, at the lowest cost. The plan's
// memory is known to be free at each target; as few targets as possible hold
// it, in proportion to what is free there. `targets` are in ascending order of
// the cost of receiving the request.
MemoryPlanResult PlanMemory(const PlanRequest& request,
                            const std::vector<PlanTarget>& targets);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_MEMORY_PLAN_H_
