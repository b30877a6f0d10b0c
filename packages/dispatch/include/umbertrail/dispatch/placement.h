#ifndef UMBERTRAIL_DISPATCH_PLACEMENT_H_
#define UMBERTRAIL_DISPATCH_PLACEMENT_H_

#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/features.h"
#include "umbertrail/dispatch/load_board.h"
#include "umbertrail/dispatch/memory_plan.h"

// Target selection. Each placement has a cost: the value its caller loses if
// the first event is late, plus the value that requests already served at the
// target lose if their token streams pause. A decoding stream adds little to a
// target's load, so short prompts concentrate on few targets and leave others
// free for the prefill of long prompts; the split follows the load.

namespace umbertrail::dispatch {

// Placement policies. All but the first are baselines for comparison.
enum class PlacementMode {
  // By predicted latency, from the load of all instances.
  kPredicted,
  // The target with the fewest requests from this instance.
  kLeastConnections,
  // A uniformly random available target.
  kRandom,
};
std::optional<PlacementMode> ParsePlacementMode(absl::string_view name);

// The properties of a request that placement depends on.
struct RequestProfile {
  // Prompt length; zero for a plain service.
  Tokens prompt;
  absl::Duration aim;
  absl::Duration max_event_gap = absl::InfiniteDuration();
  // Time since the request arrived.
  absl::Duration elapsed;
  // Time until the caller's deadline.
  absl::Duration time_remaining;
  // 0 is the most urgent.
  int urgency = 0;
  // Expected events of the response stream; zero if unknown.
  double expected_events = 0;
  // Identifies the client account; zero if there is none.
  AccountHash account;
  // It was sent to a target before, which failed.
  bool is_retry = false;
};

// State of one target that can serve the request.
struct Candidate {
  TargetId id;
  int slots = 1;
  std::vector<WorkItem> work;
  // In the same data centre as this instance.
  bool same_data_centre = false;
  bool cold = false;
  // Fraction of recent requests that failed there, 0 to 1.
  double failure_rate = 0;
  // Ratio of recent measured to modelled prefill times; 1 as modelled.
  double slowdown = 1;
  // Ratio of measured to modelled pauses between events; 1 as modelled.
  double decode_slowdown = 1;
  // Time until its rate limit allows a request; zero if it does now.
  absl::Duration rate_wait = absl::ZeroDuration();
  // It could not reserve memory for this request, or failed as its helper.
  bool excluded_as_helper = false;
};

struct PlacementDecision {
  TargetId target;
  // The request is charged to the rate limit that the target states.
  bool charged_to_limit = false;
  // Targets that prefill parts of the prompt.
  std::vector<TargetId> helpers;
  // Memory to reserve at each helper; zero if the target itself holds the whole
  // prompt. With `tickets`, the largest of these.
  Tokens reserve_per_helper;
  // Memory to reserve at each of `helpers`, zero at those that only prefill;
  // empty if it is the same at all.
  std::vector<Tokens> tickets;
  // Predicted, from now.
  absl::Duration time_to_first_event;
  // Expected loss of value for the caller and for requests already served
  // there, in units of a short request's value; comparable only among
  // placements of one request.
  double cost = 0;
  // The part of the cost that is borne by streams more urgent than the request;
  // not sent to other instances.
  double cost_to_more_urgent = 0;
};

// Memory to reserve at `decision.helpers[helper]`.
Tokens TicketOf(const PlacementDecision& decision, size_t helper);

struct PlacementResult {
  std::optional<PlacementDecision> decision;
  // If nothing was placed: time until capacity is expected, from now.
  absl::Duration retry_after;
  // The earliest first event that any engine could have given; infinite if none
  // was evaluated.
  absl::Duration min_time_to_first_event = absl::InfiniteDuration();
  // Why the prompt's memory couldn't be planned; none if it was, or needed no
  // plan.
  std::optional<PlanBound> plan_bound;
};

// Value of serving a prompt of that size on time; a short one has about 1.
double RequestValue(Tokens prompt);

// How long callers wait for the first or the next event before they abandon the
// request.
absl::Duration Patience(absl::Duration aim, absl::Duration max_event_gap);

// Queueing delay of a prompt that arrives now: the remaining prefill of earlier
// prompts, in FIFO order. Zero if none is queued.
absl::Duration PrefillBacklog(const std::vector<WorkItem>& work,
                              double slowdown,
                              absl::Time now);

// The largest delay of a first event at a target beyond its prediction and the
// error margin. Zero if none is late.
absl::Duration OverdueBy(const std::vector<WorkItem>& work, absl::Time now);

// How long a request without an event waits before another target is tried:
// twice the predicted time and a margin, but at least half of its caller's
// patience.
absl::Duration RerouteTimeout(absl::Duration time_to_first_event,
                              absl::Duration aim,
                              absl::Duration max_event_gap);

// Chooses among `candidates`. `engine` is null for a plain service. `tie` in
// [0, 1) breaks ties among equal targets. Of `features` it uses remaining_work.
PlacementResult Place(const RequestProfile& request,
                      const EngineModel* engine,
                      const std::vector<Candidate>& candidates,
                      absl::Time now,
                      double tie,
                      const Features& features = {});

// The load that a request sent at `now` adds at each of its targets: first
// `decision.target`, then each helper.
std::vector<std::pair<TargetId, WorkItem>> WorkItemsFor(
    const RequestProfile& request,
    const EngineModel* engine,
    const PlacementDecision& decision,
    absl::Time now);

// True if a prompt is long enough for helpers to share its prefill.
bool CanUseHelpers(const RequestProfile& request, const EngineModel* engine);

// True if the cost is so low that evaluating further targets isn't worth a
// query.
bool IsLowCost(const PlacementDecision& decision);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_PLACEMENT_H_
