#ifndef UMBERTRAIL_DISPATCH_PLACEMENT_H_
#define UMBERTRAIL_DISPATCH_PLACEMENT_H_

#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/config.h"
#include "umbertrail/dispatch/load_board.h"

// Where a request goes. Each placement has a cost: what its caller loses when
// the first event is late, and what the callers already served at the target
// lose when their events pause. Streams that only write cost a target next to
// nothing, so short prompts gather at few targets and leave others free to
// read long ones; the division follows the load by itself.

namespace umbertrail::dispatch {

// How targets are chosen. All but the first are baselines to measure against.
enum class PlacementMode {
  // By predicted times, from what all instances run.
  kPredicted,
  // The target with the fewest of this instance's own requests.
  kLeastConnections,
  // Any target that may serve.
  kRandom,
};
std::optional<PlacementMode> ParsePlacementMode(absl::string_view name);

// A request as far as placement looks at it.
struct RequestProfile {
  // Zero at a plain service.
  Tokens prompt;
  absl::Duration aim;
  absl::Duration max_event_gap = absl::InfiniteDuration();
  // Time since the request came.
  absl::Duration elapsed;
  // Time that its caller still gives it.
  absl::Duration time_remaining;
};

// What a placement needs to know of one target that may serve.
struct Candidate {
  TargetId id;
  int slots = 1;
  std::vector<WorkItem> work;
  // In this instance's data centre.
  bool same_data_centre = false;
  bool cold = false;
  // Share of recent requests that failed there, 0 to 1.
  double failure_rate = 0;
  // Its recent reading times against the engine's arithmetic; 1 as expected.
  double slowdown = 1;
  // Its sends of this second are used up.
  bool rate_limited = false;
  // It had no memory to set aside, or failed as a helper of this request.
  bool excluded_as_helper = false;
};

struct PlacementDecision {
  TargetId target;
  // Targets that read parts of the prompt.
  std::vector<TargetId> helpers;
  // Memory to be set aside at each helper; zero where the target itself holds
  // the whole prompt.
  Tokens reserve_per_helper;
  // From now to the first event.
  absl::Duration time_to_first_event;
  // What the placement costs its caller and those already served there, in
  // units of a short request's worth; comparable among placements of one
  // request.
  double cost = 0;
};

struct PlacementResult {
  std::optional<PlacementDecision> decision;
  // Where nothing was placed: when a place will be free, from now.
  absl::Duration retry_after;
  // The soonest first event that any engine could have given; infinite where
  // none was asked.
  absl::Duration min_time_to_first_event = absl::InfiniteDuration();
};

// What serving a prompt of that size well is worth, in units of a short one.
double WorthOf(Tokens prompt);

// How long callers wait for a first event, or the next one, before they leave.
absl::Duration Patience(absl::Duration aim, absl::Duration gap_aim);

// When a target gets to a prompt that comes now: its earlier prompts, in their
// order. Zero when it has none to read.
absl::Duration ReadBacklog(const std::vector<WorkItem>& work,
                           double pace,
                           absl::Time now);

// How long the first event of some request at a target is overdue: beyond what
// was predicted and a margin for the prediction's error. Zero when none is.
absl::Duration OverdueBy(const std::vector<WorkItem>& work, absl::Time now);

// When a request that has had no event should look for another target: twice
// what was predicted and a margin, but not before half of its caller's
// patience is used up.
absl::Duration RerouteTimeout(absl::Duration expected,
                              absl::Duration aim,
                              absl::Duration gap_aim);

// Chooses among `candidates`. `engine` is null at a plain service. `tie` in
// [0, 1) varies the choice among equal targets.
PlacementResult Place(const RequestProfile& shape,
                      const EngineModel* engine,
                      const std::vector<Candidate>& candidates,
                      absl::Time now,
                      double tie);

// The work that a request will be at each of the targets that it was placed
// at, sent at `now`: the first is `placed.target`'s, then one for each helper.
std::vector<std::pair<TargetId, WorkItem>> WorkItemsFor(
    const RequestProfile& shape,
    const EngineModel* engine,
    const PlacementDecision& placed,
    absl::Time now);

// True when a prompt is so long that its reading may be shared by helpers.
bool CanUseHelpers(const RequestProfile& shape, const EngineModel* engine);

// True when the placement harms nobody much, so that looking at further targets
// isn't worth a question.
bool IsLowCost(const PlacementDecision& placed);

}  // namespace umbertrail::dispatch

#endif  // UMBERTRAIL_DISPATCH_PLACEMENT_H_
